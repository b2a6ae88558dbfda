#include "radishroad/operator/owner_table.h"

#include "radishroad/base/hash.h"
#include "radishroad/operator/text_table.h"

#include <map>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kNobody = "-";

/// "0-3,7": the shards as ranges; they must be in order.
std::string
toRanges(const std::vector<Shard>& aShards)
{
  std::string text;
  for (std::size_t it = 0; it < aShards.size();) {
    std::size_t last = it;
    while (last + 1 < aShards.size() &&
           aShards[last + 1] == aShards[last] + 1) {
      ++last;
    }
    text += text.empty() ? "" : ",";
    text += std::to_string(aShards[it]);
    text += last > it ? "-" + std::to_string(aShards[last]) : "";
    it = last + 1;
  }
  return text;
}

}

OwnerTable::OwnerTable(std::string aService, const CellState& aCell)
  : mService(std::move(aService))
  , mCell(aCell)
{
}

const Member*
OwnerTable::memberOf(Incarnation aIncarnation) const
{
  const auto it = mCell.mMembers.find(aIncarnation);
  return it == mCell.mMembers.end() ? nullptr : &it->second;
}

std::string
OwnerTable::vmOf(Incarnation aIncarnation) const
{
  const Member* member = memberOf(aIncarnation);
  return member == nullptr ? kNobody : member->mVm;
}

std::string
OwnerTable::zoneOf(Incarnation aIncarnation) const
{
  const Member* member = memberOf(aIncarnation);
  return member == nullptr ? kNobody : member->mZone;
}

std::string
OwnerTable::summaryToText() const
{
  std::map<std::pair<std::string, Incarnation>, std::vector<Shard>> shards;
  for (Shard shard = 0; shard < mCell.mShards.size(); ++shard) {
    const Incarnation owner = mCell.mShards[shard].mOwner;
    shards[{ vmOf(owner), owner }].push_back(shard);
  }
  TextTable table({ "service", "owner", "zone", "count", "shards" });
  for (const auto& [owner, owned] : shards) {
    table.add({ mService,
                owner.first,
                zoneOf(owner.second),
                std::to_string(owned.size()),
                toRanges(owned) });
  }
  return table.toText();
}

std::string
OwnerTable::shardsToText() const
{
  TextTable table({ "service", "shard", "owner", "zone", "epoch" });
  for (Shard shard = 0; shard < mCell.mShards.size(); ++shard) {
    const Ownership& ownership = mCell.mShards[shard];
    table.add({ mService,
                std::to_string(shard),
                vmOf(ownership.mOwner),
                zoneOf(ownership.mOwner),
                std::to_string(ownership.mEpoch) });
  }
  for (const auto& [hash, split] : mCell.mSplitKeys) {
    table.add({ mService,
                std::to_string(split.mShard) + " key " + std::to_string(hash),
                vmOf(split.mOwnership.mOwner),
                zoneOf(split.mOwnership.mOwner),
                std::to_string(split.mOwnership.mEpoch) });
  }
  return table.toText();
}

Json
OwnerTable::ownershipToJson(const Ownership& aOwnership) const
{
  const Member* member = memberOf(aOwnership.mOwner);
  Json json = { { "owner", nullptr },
                { "zone", nullptr },
                { "incarnation", std::to_string(aOwnership.mOwner) },
                { "epoch", aOwnership.mEpoch } };
  if (member != nullptr) {
    json["owner"] = member->mVm;
    json["zone"] = member->mZone;
  }
  return json;
}

Json
OwnerTable::toJson() const
{
  Json shards = Json::array();
  for (Shard shard = 0; shard < mCell.mShards.size(); ++shard) {
    Json json = { { "shard", shard } };
    json.update(ownershipToJson(mCell.mShards[shard]));
    shards.push_back(std::move(json));
  }
  Json keys = Json::array();
  for (const auto& [hash, split] : mCell.mSplitKeys) {
    Json json = { { "key_hash", std::to_string(hash) },
                  { "shard", split.mShard } };
    json.update(ownershipToJson(split.mOwnership));
    keys.push_back(std::move(json));
  }
  return { { "shards", shards }, { "split_keys", keys } };
}

std::string
OwnerTable::keyToText(const std::string& aKey) const
{
  const std::uint64_t hash = hash64(aKey);
  const Ownership ownership = ownerOf(mCell, hash);
  TextTable table({ "service", "shard", "owner", "zone", "epoch" });
  table.add({ mService,
              std::to_string(shardOf(hash)),
              vmOf(ownership.mOwner),
              zoneOf(ownership.mOwner),
              std::to_string(ownership.mEpoch) });
  return table.toText();
}

Json
OwnerTable::keyToJson(const std::string& aKey) const
{
  const std::uint64_t hash = hash64(aKey);
  Json json = { { "key_hash", std::to_string(hash) },
                { "shard", shardOf(hash) },
                { "split", mCell.mSplitKeys.contains(hash) } };
  json.update(ownershipToJson(ownerOf(mCell, hash)));
  return json;
}

}

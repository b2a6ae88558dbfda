#include "radishroad/operator/owner_table.h"

#include "radishroad/base/hash.h"

#include <map>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kNoOwner = "-";

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
  return member == nullptr ? kNoOwner : member->mVm;
}

std::string
OwnerTable::zoneOf(Incarnation aIncarnation) const
{
  const Member* member = memberOf(aIncarnation);
  return member == nullptr ? kNoOwner : member->mZone;
}

TextTable
OwnerTable::makeSummaryTable()
{
  return TextTable({ "service", "owner", "zone", "shards", "split keys" });
}

TextTable
OwnerTable::makeShardTable()
{
  return TextTable({ "service", "shard", "owner", "zone", "epoch" });
}

void
OwnerTable::addSummary(TextTable& aTable) const
{
  struct Counts
  {
    int mShards = 0;
    int mKeys = 0;
  };
  std::map<std::pair<std::string, Incarnation>, Counts> counts;
  for (const Ownership& ownership : mCell.mShards) {
    ++counts[{ vmOf(ownership.mOwner), ownership.mOwner }].mShards;
  }
  for (const auto& [hash, split] : mCell.mSplitKeys) {
    const Incarnation owner = split.mOwnership.mOwner;
    ++counts[{ vmOf(owner), owner }].mKeys;
  }
  for (const auto& [owner, count] : counts) {
    aTable.add({ mService,
                 owner.first,
                 zoneOf(owner.second),
                 std::to_string(count.mShards),
                 std::to_string(count.mKeys) });
  }
}

void
OwnerTable::addRow(TextTable& aTable,
                   std::string aShard,
                   const Ownership& aOwnership) const
{
  aTable.add({ mService,
               std::move(aShard),
               vmOf(aOwnership.mOwner),
               zoneOf(aOwnership.mOwner),
               std::to_string(aOwnership.mEpoch) });
}

void
OwnerTable::addShards(TextTable& aTable) const
{
  for (Shard shard = 0; shard < mCell.mShards.size(); ++shard) {
    addRow(aTable, std::to_string(shard), mCell.mShards[shard]);
  }
  for (const auto& [hash, split] : mCell.mSplitKeys) {
    addRow(aTable,
           std::to_string(split.mShard) + " key " + std::to_string(hash),
           split.mOwnership);
  }
}

void
OwnerTable::addKey(TextTable& aTable, const std::string& aKey) const
{
  const std::uint64_t hash = hash64(aKey);
  addRow(aTable, std::to_string(shardOf(hash)), ownerOf(mCell, hash));
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

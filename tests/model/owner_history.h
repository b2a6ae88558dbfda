#ifndef RADISHROAD_TESTS_OWNER_HISTORY_H
#define RADISHROAD_TESTS_OWNER_HISTORY_H

#include "radishroad/state/cell_state.h"
#include "radishroad/state/fold.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace radishroad::testing {

/// Records the owner of each shard and split key at each epoch, over all states
/// of a cell.
class OwnerHistory
{
public:
  struct Entry
  {
    Incarnation mOwner = 0;
    std::string mVm;
    /// Time of the record that made the member the owner.
    Millis mSince;
  };

  void recordState(const CellState& aState, Millis aAt)
  {
    for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
      add(mShards, shard, aState.mShards[shard], aState, aAt);
    }
    for (const auto& [key, split] : aState.mSplitKeys) {
      add(mKeys, key, split.mOwnership, aState, aAt);
    }
  }

  /// Returns the owner of a key at an epoch; null if there was none.
  const Entry* find(std::uint64_t aKeyHash, Epoch aEpoch) const
  {
    const auto key = mKeys.find({ aKeyHash, aEpoch });
    if (key != mKeys.end()) {
      return &key->second;
    }
    const auto shard = mShards.find({ shardOf(aKeyHash), aEpoch });
    return shard == mShards.end() ? nullptr : &shard->second;
  }

private:
  using Entries = std::map<std::pair<std::uint64_t, Epoch>, Entry>;

  static void add(Entries& aEntries,
                  std::uint64_t aKey,
                  const Ownership& aOwnership,
                  const CellState& aState,
                  Millis aAt)
  {
    const auto member = aState.mMembers.find(aOwnership.mOwner);
    if (member != aState.mMembers.end()) {
      aEntries.try_emplace({ aKey, aOwnership.mEpoch },
                           Entry{ aOwnership.mOwner, member->second.mVm, aAt });
    }
  }

  Entries mShards;
  Entries mKeys;
};

inline std::string
verdictName(FoldVerdict aVerdict)
{
  switch (aVerdict) {
    case FoldVerdict::Applied:
      return "applied";
    case FoldVerdict::Refused:
      return "refused";
    case FoldVerdict::Duplicate:
      return "duplicate";
    case FoldVerdict::Corrupt:
      return "corrupt";
    case FoldVerdict::Ignored:
      return "ignored";
  }
  return "";
}

/// Lists the shards that changed owner, keyed by "VM@epoch", and the members
/// that changed status.
inline nlohmann::json
describeChanges(const CellState& aBefore, const CellState& aAfter)
{
  nlohmann::json changes = nlohmann::json::object();
  for (Shard shard = 0; shard < aAfter.mShards.size(); ++shard) {
    const Ownership& ownership = aAfter.mShards[shard];
    const auto member = aAfter.mMembers.find(ownership.mOwner);
    if (ownership != aBefore.mShards[shard]) {
      const std::string vm =
        member == aAfter.mMembers.end() ? "nobody" : member->second.mVm;
      changes["owners"][vm + "@" + std::to_string(ownership.mEpoch)].push_back(
        shard);
    }
  }
  for (const auto& [incarnation, member] : aAfter.mMembers) {
    const auto it = aBefore.mMembers.find(incarnation);
    if (it == aBefore.mMembers.end() || it->second.mStatus != member.mStatus) {
      changes["members"][member.mVm] = memberStatusName(member.mStatus);
    }
  }
  return changes;
}

}

#endif

#include "radishroad/ownership/ownership_change.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Whether aFrom can have ended its requests before it lost an ownership.
bool
handedOver(const CellState& aAfter, Incarnation aFrom)
{
  if (aFrom == 0) {
    return true;
  }
  const auto it = aAfter.mMembers.find(aFrom);
  return it != aAfter.mMembers.end() &&
         it->second.mStatus != MemberStatus::Expelled;
}

OwnershipChange
describe(const Ownership& aBefore,
         const Ownership& aNow,
         const CellState& aAfter)
{
  OwnershipChange change;
  change.mFrom = aBefore.mOwner;
  change.mTo = aNow.mOwner;
  change.mEpoch = aNow.mEpoch;
  // More than one epoch: an owner in between is not known.
  const bool single = aNow.mEpoch == aBefore.mEpoch + 1;
  change.mPlanned = single && handedOver(aAfter, aBefore.mOwner);
  return change;
}

/// A merge raises the epoch of a shard that keeps its owner. That there was no
/// owner in between is certain for states one record apart only.
bool
raisedByMerge(const CellState& aBefore, const CellState& aAfter, Shard aShard)
{
  return aAfter.mNextOffset == aBefore.mNextOffset + 1 &&
         aBefore.mShards[aShard].mOwner == aAfter.mShards[aShard].mOwner;
}

/// A split key that has gone back to its shard.
void
addMerge(const CellState& aBefore,
         const CellState& aAfter,
         std::uint64_t aKeyHash,
         const SplitOwnership& aSplit,
         std::vector<OwnershipChange>& aChanges)
{
  const Ownership& shard = aAfter.mShards[aSplit.mShard];
  const Incarnation from = aSplit.mOwnership.mOwner;
  const bool single = aAfter.mNextOffset == aBefore.mNextOffset + 1;
  if (single && from == shard.mOwner) {
    return;
  }
  OwnershipChange change;
  change.mShard = aSplit.mShard;
  change.mKeyHash = aKeyHash;
  change.mFrom = from;
  change.mTo = shard.mOwner;
  change.mEpoch = shard.mEpoch;
  change.mPlanned = single && handedOver(aAfter, from);
  aChanges.push_back(change);
}

void
addKeyChange(const CellState& aBefore,
             const CellState& aAfter,
             std::uint64_t aKeyHash,
             const SplitOwnership& aNow,
             std::vector<OwnershipChange>& aChanges)
{
  const auto it = aBefore.mSplitKeys.find(aKeyHash);
  const bool newSplit = it == aBefore.mSplitKeys.end();
  const Ownership before =
    newSplit ? aBefore.mShards[aNow.mShard] : it->second.mOwnership;
  if (before.mEpoch == aNow.mOwnership.mEpoch) {
    return;
  }
  OwnershipChange change = describe(before, aNow.mOwnership, aAfter);
  change.mShard = aNow.mShard;
  change.mKeyHash = aKeyHash;
  change.mNewSplit = newSplit;
  aChanges.push_back(change);
}

}

std::vector<OwnershipChange>
ownershipChanges(const CellState& aBefore, const CellState& aAfter)
{
  std::vector<OwnershipChange> changes;
  const std::size_t shards =
    std::min(aBefore.mShards.size(), aAfter.mShards.size());
  for (Shard shard = 0; shard < shards; ++shard) {
    const Ownership& before = aBefore.mShards[shard];
    const Ownership& now = aAfter.mShards[shard];
    if (before.mEpoch != now.mEpoch && !raisedByMerge(aBefore, aAfter, shard)) {
      changes.push_back(describe(before, now, aAfter));
      changes.back().mShard = shard;
    }
  }
  for (const auto& [keyHash, split] : aAfter.mSplitKeys) {
    addKeyChange(aBefore, aAfter, keyHash, split, changes);
  }
  for (const auto& [keyHash, split] : aBefore.mSplitKeys) {
    if (!aAfter.mSplitKeys.contains(keyHash)) {
      addMerge(aBefore, aAfter, keyHash, split, changes);
    }
  }
  return changes;
}

}

#include "radishroad/ownership/ownership_change.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Whether aFrom can have completed its requests before it lost ownership.
bool
hasHandedOver(const CellState& aAfter, Incarnation aFrom)
{
  if (aFrom == 0) {
    return true;
  }
  const auto it = aAfter.mMembers.find(aFrom);
  return it != aAfter.mMembers.end() &&
         it->second.mStatus != MemberStatus::Expelled;
}

bool
isOneRecordApart(const CellState& aBefore, const CellState& aAfter)
{
  return aAfter.mNextOffset == aBefore.mNextOffset + 1;
}

/// A split key that moves to the owner of its shard, or to an owner of other
/// keys of the shard, raises the epochs of these. Only for states one record
/// apart is it certain that there was no other owner in between.
bool
hasKeptOwner(const Ownership& aPrevious,
             const Ownership& aCurrent,
             const CellState& aBefore,
             const CellState& aAfter)
{
  return aPrevious.mOwner == aCurrent.mOwner &&
         isOneRecordApart(aBefore, aAfter);
}

OwnershipChange
makeChange(const Ownership& aPrevious,
           const Ownership& aCurrent,
           const CellState& aBefore,
           const CellState& aAfter)
{
  OwnershipChange change;
  change.mFrom = aPrevious.mOwner;
  change.mTo = aCurrent.mOwner;
  change.mEpoch = aCurrent.mEpoch;
  // Otherwise there may have been an unknown owner in between.
  const bool single = aCurrent.mEpoch == aPrevious.mEpoch + 1 ||
                      isOneRecordApart(aBefore, aAfter);
  change.mPlanned = single && hasHandedOver(aAfter, aPrevious.mOwner);
  return change;
}

/// Adds the change of a split key that was merged back into its shard.
void
addMergedKey(const CellState& aBefore,
             const CellState& aAfter,
             std::uint64_t aKeyHash,
             const SplitOwnership& aSplit,
             std::vector<OwnershipChange>& aChanges)
{
  const Ownership& shard = aAfter.mShards[aSplit.mShard];
  const Incarnation from = aSplit.mOwnership.mOwner;
  const bool single = isOneRecordApart(aBefore, aAfter);
  if (single && from == shard.mOwner) {
    return;
  }
  OwnershipChange change;
  change.mShard = aSplit.mShard;
  change.mKeyHash = aKeyHash;
  change.mFrom = from;
  change.mTo = shard.mOwner;
  change.mEpoch = shard.mEpoch;
  change.mPlanned = single && hasHandedOver(aAfter, from);
  aChanges.push_back(change);
}

void
addKeyChange(const CellState& aBefore,
             const CellState& aAfter,
             std::uint64_t aKeyHash,
             const SplitOwnership& aCurrent,
             std::vector<OwnershipChange>& aChanges)
{
  const auto it = aBefore.mSplitKeys.find(aKeyHash);
  const bool newSplit = it == aBefore.mSplitKeys.end();
  const Ownership before =
    newSplit ? aBefore.mShards[aCurrent.mShard] : it->second.mOwnership;
  // A new split is reported even if the owner stays the same, since the key
  // then has a wait of its own.
  const bool kept =
    !newSplit && hasKeptOwner(before, aCurrent.mOwnership, aBefore, aAfter);
  if (before.mEpoch == aCurrent.mOwnership.mEpoch || kept) {
    return;
  }
  OwnershipChange change =
    makeChange(before, aCurrent.mOwnership, aBefore, aAfter);
  change.mShard = aCurrent.mShard;
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
    if (before.mEpoch != now.mEpoch &&
        !hasKeptOwner(before, now, aBefore, aAfter)) {
      changes.push_back(makeChange(before, now, aBefore, aAfter));
      changes.back().mShard = shard;
    }
  }
  for (const auto& [keyHash, split] : aAfter.mSplitKeys) {
    addKeyChange(aBefore, aAfter, keyHash, split, changes);
  }
  for (const auto& [keyHash, split] : aBefore.mSplitKeys) {
    if (!aAfter.mSplitKeys.contains(keyHash)) {
      addMergedKey(aBefore, aAfter, keyHash, split, changes);
    }
  }
  return changes;
}

}

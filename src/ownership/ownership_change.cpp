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

bool
oneRecordApart(const CellState& aBefore, const CellState& aAfter)
{
  return aAfter.mNextOffset == aBefore.mNextOffset + 1;
}

/// A split key that comes to the owner of its shard, or of others of its keys,
/// raises their epochs. That there was no owner in between is certain for
/// states one record apart only.
bool
keptOwner(const Ownership& aWas,
          const Ownership& aNow,
          const CellState& aBefore,
          const CellState& aAfter)
{
  return aWas.mOwner == aNow.mOwner && oneRecordApart(aBefore, aAfter);
}

OwnershipChange
describe(const Ownership& aWas,
         const Ownership& aNow,
         const CellState& aBefore,
         const CellState& aAfter)
{
  OwnershipChange change;
  change.mFrom = aWas.mOwner;
  change.mTo = aNow.mOwner;
  change.mEpoch = aNow.mEpoch;
  // Otherwise an owner in between is not known.
  const bool single =
    aNow.mEpoch == aWas.mEpoch + 1 || oneRecordApart(aBefore, aAfter);
  change.mPlanned = single && handedOver(aAfter, aWas.mOwner);
  return change;
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
  const bool single = oneRecordApart(aBefore, aAfter);
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
  // A new split is told of even with the same owner: it has a wait apart.
  const bool kept =
    !newSplit && keptOwner(before, aNow.mOwnership, aBefore, aAfter);
  if (before.mEpoch == aNow.mOwnership.mEpoch || kept) {
    return;
  }
  OwnershipChange change = describe(before, aNow.mOwnership, aBefore, aAfter);
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
    if (before.mEpoch != now.mEpoch &&
        !keptOwner(before, now, aBefore, aAfter)) {
      changes.push_back(describe(before, now, aBefore, aAfter));
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

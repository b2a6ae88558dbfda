#include "radishroad/state/fold_rules.h"

#include "radishroad/state/limits.h"
#include "radishroad/state/owner_selector.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace radishroad::rules {

namespace {

/// True if the grants name each shard at most once, all of these shards belong
/// to aOwner at the base epochs of the grants, and each new owner is eligible.
/// An owner may give shards to itself, whether it is eligible or not, which
/// raises their epochs.
bool
areGrantsValid(const CellState& aState,
               std::span<const wire::ShardGrant> aGrants,
               Incarnation aOwner)
{
  std::set<Shard> named;
  for (const wire::ShardGrant& grant : aGrants) {
    if (grant.shard() >= aState.mShards.size() ||
        !named.insert(grant.shard()).second) {
      return false;
    }
    const Ownership& shard = aState.mShards[grant.shard()];
    const bool current =
      shard.mOwner == aOwner && shard.mEpoch == grant.base_epoch();
    const bool isKept = aOwner != 0 && grant.to() == aOwner;
    if (!current || (!isKept && !isEligibleOwner(aState, grant.to()))) {
      return false;
    }
  }
  return !aGrants.empty();
}

/// Allocates the epochs for ownership changes: for each shard, above the epochs
/// of the shard itself and of its split keys.
class EpochAllocator
{
public:
  explicit EpochAllocator(const CellState& aState)
    : mHighest(aState.mShards.size())
  {
    for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
      mHighest[shard] = aState.mShards[shard].mEpoch;
    }
    for (const auto& [key, split] : aState.mSplitKeys) {
      Epoch& highest = mHighest[split.mShard];
      highest = std::max(highest, split.mOwnership.mEpoch);
    }
  }

  Epoch allocate(Shard aShard) { return ++mHighest[aShard]; }

private:
  std::vector<Epoch> mHighest;
};

/// Raises the epochs of a shard and its split keys that have the same owner to
/// the highest among them. An upstream keeps one fencing epoch per shard: if
/// the owner acquired one of them later, with a higher epoch, the upstream
/// would otherwise reject requests for those that the owner had before.
void
alignEpochs(CellState& aState)
{
  std::map<std::pair<Shard, Incarnation>, Epoch> highest;
  for (const auto& [key, split] : aState.mSplitKeys) {
    const Ownership& shard = aState.mShards[split.mShard];
    Epoch& epoch = highest[{ split.mShard, split.mOwnership.mOwner }];
    epoch = std::max(epoch, split.mOwnership.mEpoch);
    if (shard.mOwner == split.mOwnership.mOwner) {
      epoch = std::max(epoch, shard.mEpoch);
    }
  }
  for (auto& [key, split] : aState.mSplitKeys) {
    Ownership& shard = aState.mShards[split.mShard];
    const Epoch epoch = highest[{ split.mShard, split.mOwnership.mOwner }];
    split.mOwnership.mEpoch = epoch;
    if (shard.mOwner == split.mOwnership.mOwner) {
      shard.mEpoch = epoch;
    }
  }
}

void
applyGrants(CellState& aState, std::span<const wire::ShardGrant> aGrants)
{
  EpochAllocator epochs(aState);
  for (const wire::ShardGrant& grant : aGrants) {
    aState.mShards[grant.shard()] = { grant.to(),
                                      epochs.allocate(grant.shard()) };
  }
  alignEpochs(aState);
}

void
reassign(Ownership& aOwnership,
         Shard aShard,
         Incarnation aFrom,
         OwnerSelector& aSelector,
         EpochAllocator& aEpochs)
{
  if (aOwnership.mOwner == aFrom) {
    aOwnership.mOwner = aSelector.select(aShard, aFrom);
    aOwnership.mEpoch = aEpochs.allocate(aShard);
  }
}

/// Splits a key out of its shard. The new owner may be the shard's owner.
bool
createSplit(CellState& aState, const wire::SplitKeyT& aChange)
{
  const Ownership& shard = aState.mShards[aChange.shard];
  if (shard.mOwner != aChange.incarnation ||
      shard.mEpoch != aChange.base_epoch ||
      aState.mSplitKeys.size() >= kMaxSplitKeys) {
    return false;
  }
  SplitOwnership split;
  split.mShard = aChange.shard;
  split.mOwnership = { aChange.to,
                       EpochAllocator(aState).allocate(aChange.shard) };
  aState.mSplitKeys.emplace(aChange.key_hash, split);
  return true;
}

bool
moveSplit(CellState& aState,
          Ownership& aOwnership,
          const wire::SplitKeyT& aChange)
{
  if (aOwnership.mOwner != aChange.incarnation ||
      aOwnership.mEpoch != aChange.base_epoch ||
      aChange.to == aChange.incarnation) {
    return false;
  }
  aOwnership = { aChange.to, EpochAllocator(aState).allocate(aChange.shard) };
  return true;
}

/// Merges a split key back into its shard. If the shard has another owner, its
/// epoch is increased, as for any change of a key's owner.
bool
mergeSplit(CellState& aState, const wire::SplitKeyT& aChange)
{
  const auto it = aState.mSplitKeys.find(aChange.key_hash);
  if (it == aState.mSplitKeys.end()) {
    return false;
  }
  const Ownership& key = it->second.mOwnership;
  Ownership& shard = aState.mShards[aChange.shard];
  const bool current =
    key.mOwner == aChange.incarnation && key.mEpoch == aChange.base_epoch;
  const bool sameOwner = shard.mOwner == aChange.incarnation;
  if (!current || (!sameOwner && !isEligibleOwner(aState, shard.mOwner))) {
    return false;
  }
  if (!sameOwner) {
    shard.mEpoch = EpochAllocator(aState).allocate(aChange.shard);
  }
  aState.mSplitKeys.erase(it);
  return true;
}

}

bool
apply(CellState& aState, const wire::AssignT& aChange)
{
  if (!areGrantsValid(aState, aChange.grants, 0) ||
      !isValidRunLength(aChange.run_keys)) {
    return false;
  }
  const bool first = std::ranges::all_of(
    aState.mShards, [](const Ownership& aShard) { return aShard.mEpoch == 0; });
  if (first) {
    aState.mRunKeys = aChange.run_keys;
  }
  applyGrants(aState, aChange.grants);
  return true;
}

bool
apply(CellState& aState, const wire::ReleaseT& aChange)
{
  if (aChange.incarnation == 0 ||
      !areGrantsValid(aState, aChange.grants, aChange.incarnation)) {
    return false;
  }
  applyGrants(aState, aChange.grants);
  return true;
}

bool
apply(CellState& aState, const wire::SplitKeyT& aChange)
{
  if (aChange.incarnation == 0 || aChange.shard != shardOf(aChange.key_hash)) {
    return false;
  }
  if (aChange.to == 0) {
    const bool merged = mergeSplit(aState, aChange);
    alignEpochs(aState);
    return merged;
  }
  if (!isEligibleOwner(aState, aChange.to)) {
    return false;
  }
  const auto it = aState.mSplitKeys.find(aChange.key_hash);
  const bool changed = it == aState.mSplitKeys.end()
                         ? createSplit(aState, aChange)
                         : moveSplit(aState, it->second.mOwnership, aChange);
  if (changed) {
    alignEpochs(aState);
  }
  return changed;
}

void
assignOwnerlessSplitKeys(CellState& aState)
{
  const bool hasOwnerless =
    std::ranges::any_of(aState.mSplitKeys, [](const auto& aEntry) {
      return aEntry.second.mOwnership.mOwner == 0;
    });
  if (!hasOwnerless) {
    return;
  }
  OwnerSelector selector(aState);
  if (!selector.hasCandidates()) {
    return;
  }
  EpochAllocator epochs(aState);
  for (auto& [key, split] : aState.mSplitKeys) {
    reassign(split.mOwnership, split.mShard, 0, selector, epochs);
  }
  alignEpochs(aState);
}

void
redistributeOwnership(CellState& aState, Incarnation aFrom)
{
  OwnerSelector selector(aState);
  EpochAllocator epochs(aState);
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    reassign(aState.mShards[shard], shard, aFrom, selector, epochs);
  }
  for (auto& [key, split] : aState.mSplitKeys) {
    reassign(split.mOwnership, split.mShard, aFrom, selector, epochs);
  }
  alignEpochs(aState);
}

void
transferOwnership(CellState& aState, Incarnation aFrom, Incarnation aTo)
{
  EpochAllocator epochs(aState);
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    if (aState.mShards[shard].mOwner == aFrom) {
      aState.mShards[shard] = { aTo, epochs.allocate(shard) };
    }
  }
  for (auto& [key, split] : aState.mSplitKeys) {
    if (split.mOwnership.mOwner == aFrom) {
      split.mOwnership = { aTo, epochs.allocate(split.mShard) };
    }
  }
  alignEpochs(aState);
}

}

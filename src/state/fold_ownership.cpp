#include "radishroad/state/fold_rules.h"

#include "radishroad/state/heirs.h"
#include "radishroad/state/limits.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <set>
#include <span>

namespace radishroad::rules {

namespace {

/// True if the grants name each shard once and all build on the given owner
/// and the current epochs, for a new owner that may own.
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
    if (!current || grant.to() == aOwner || !mayOwn(aState, grant.to())) {
      return false;
    }
  }
  return !aGrants.empty();
}

void
applyGrants(CellState& aState, std::span<const wire::ShardGrant> aGrants)
{
  for (const wire::ShardGrant& grant : aGrants) {
    aState.mShards[grant.shard()] = { grant.to(), grant.base_epoch() + 1 };
  }
}

void
passOn(Ownership& aOwnership,
       Shard aShard,
       Incarnation aFrom,
       HeirChooser& aHeirs)
{
  if (aOwnership.mOwner == aFrom) {
    aOwnership.mOwner = aHeirs.choose(aShard, aFrom);
    ++aOwnership.mEpoch;
  }
}

/// A key that is in its shard still; the owner may keep it apart for itself.
bool
splitOut(CellState& aState, const wire::SplitKeyT& aChange)
{
  const Ownership& shard = aState.mShards[aChange.shard];
  if (shard.mOwner != aChange.incarnation ||
      shard.mEpoch != aChange.base_epoch ||
      aState.mSplitKeys.size() >= kMaxSplitKeys) {
    return false;
  }
  SplitOwnership split;
  split.mShard = aChange.shard;
  split.mOwnership = { aChange.to, aChange.base_epoch + 1 };
  aState.mSplitKeys.emplace(aChange.key_hash, split);
  return true;
}

bool
moveSplit(Ownership& aOwnership, const wire::SplitKeyT& aChange)
{
  if (aOwnership.mOwner != aChange.incarnation ||
      aOwnership.mEpoch != aChange.base_epoch ||
      aChange.to == aChange.incarnation) {
    return false;
  }
  aOwnership = { aChange.to, aChange.base_epoch + 1 };
  return true;
}

/// Returns a key to its shard. The shard's epoch rises as far as the key's
/// next one, so that the key's epoch never falls.
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
  if (!current || (!sameOwner && !mayOwn(aState, shard.mOwner))) {
    return false;
  }
  shard.mEpoch = std::max(shard.mEpoch, key.mEpoch + (sameOwner ? 0 : 1));
  aState.mSplitKeys.erase(it);
  return true;
}

}

bool
apply(CellState& aState, const wire::AssignT& aChange)
{
  if (!areGrantsValid(aState, aChange.grants, 0)) {
    return false;
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
    return mergeSplit(aState, aChange);
  }
  if (!mayOwn(aState, aChange.to)) {
    return false;
  }
  const auto it = aState.mSplitKeys.find(aChange.key_hash);
  if (it == aState.mSplitKeys.end()) {
    return splitOut(aState, aChange);
  }
  return moveSplit(it->second.mOwnership, aChange);
}

void
adoptOwnerlessSplitKeys(CellState& aState)
{
  const bool any =
    std::ranges::any_of(aState.mSplitKeys, [](const auto& aEntry) {
      return aEntry.second.mOwnership.mOwner == 0;
    });
  if (!any) {
    return;
  }
  HeirChooser heirs(aState);
  if (!heirs.any()) {
    return;
  }
  for (auto& [key, split] : aState.mSplitKeys) {
    passOn(split.mOwnership, split.mShard, 0, heirs);
  }
}

void
passOnOwnership(CellState& aState, Incarnation aFrom)
{
  HeirChooser heirs(aState);
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    passOn(aState.mShards[shard], shard, aFrom, heirs);
  }
  for (auto& [key, split] : aState.mSplitKeys) {
    passOn(split.mOwnership, split.mShard, aFrom, heirs);
  }
}

}

#include "radishroad/ownership/handoff.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <map>

namespace radishroad {

namespace {

using Counts = std::map<Incarnation, std::size_t>;

/// Shards owned by each member that may own, aExcept and aAvoid left out.
Counts
updateShardRates(const CellState& aState,
                 Incarnation aExcept,
                 std::span<const Incarnation> aAvoid)
{
  Counts counts;
  for (const auto& [incarnation, member] : aState.mMembers) {
    const bool avoided = incarnation == aExcept ||
                         std::ranges::find(aAvoid, incarnation) != aAvoid.end();
    if (!avoided && mayOwn(aState, incarnation)) {
      counts[incarnation] = 0;
    }
  }
  for (const Ownership& ownership : aState.mShards) {
    const auto it = counts.find(ownership.mOwner);
    if (it != counts.end()) {
      ++it->second;
    }
  }
  return counts;
}

/// The member with the fewest shards. Ties go by rendezvous hash, so that
/// several owners that drain at once do not all choose the same.
Incarnation
leastLoaded(const Counts& aCounts, std::uint64_t aKey)
{
  Incarnation best = 0;
  std::size_t bestCount = 0;
  std::uint64_t bestHash = 0;
  for (const auto& [incarnation, count] : aCounts) {
    const std::uint64_t hash = hashPair(aKey, incarnation);
    const bool better =
      best == 0 || count < bestCount || (count == bestCount && hash > bestHash);
    if (better) {
      best = incarnation;
      bestCount = count;
      bestHash = hash;
    }
  }
  return best;
}

/// Shards of aOwner are given to the least loaded members of aCounts.
std::vector<wire::ShardGrant>
giveAway(const CellState& aState,
         Incarnation aOwner,
         Counts aCounts,
         std::size_t aMax)
{
  std::vector<wire::ShardGrant> grants;
  if (aCounts.empty()) {
    return grants;
  }
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    if (grants.size() == aMax) {
      break;
    }
    const Ownership& ownership = aState.mShards[shard];
    if (ownership.mOwner != aOwner) {
      continue;
    }
    const Incarnation to = leastLoaded(aCounts, shard);
    ++aCounts[to];
    grants.emplace_back(shard, ownership.mEpoch, to);
  }
  return grants;
}

/// The member with fewest shards, of those below their targets, that takes the
/// shard; 0 if there is none.
Incarnation
takerOf(Shard aShard,
        const Counts& aCounts,
        const Counts& aTargets,
        const TakeShardFn& aTake)
{
  Counts below;
  for (const auto& [incarnation, count] : aCounts) {
    if (count < aTargets.at(incarnation)) {
      below[incarnation] = count;
    }
  }
  while (!below.empty()) {
    const Incarnation to = leastLoaded(below, aShard);
    if (!aTake || aTake(aShard, to)) {
      return to;
    }
    below.erase(to);
  }
  return 0;
}

/// How many shards each member keeps in an even spread. The larger shares go
/// to those that have most, which spares moves.
Counts
evenTargets(const Counts& aCounts)
{
  std::vector<std::pair<std::size_t, Incarnation>> byCount;
  std::size_t total = 0;
  for (const auto& [incarnation, count] : aCounts) {
    byCount.emplace_back(count, incarnation);
    total += count;
  }
  std::sort(byCount.rbegin(), byCount.rend());
  const std::size_t share = total / byCount.size();
  std::size_t larger = total % byCount.size();
  Counts targets;
  for (const auto& [count, incarnation] : byCount) {
    targets[incarnation] = share + (larger > 0 ? 1 : 0);
    larger -= larger > 0 ? 1 : 0;
  }
  return targets;
}

}

std::vector<wire::ShardGrant>
planEvacuation(const CellState& aState,
               Incarnation aSelf,
               std::size_t aMax,
               std::span<const Incarnation> aAvoid)
{
  return giveAway(aState, aSelf, updateShardRates(aState, aSelf, aAvoid), aMax);
}

std::vector<wire::SplitKeyT>
planKeyEvacuation(const CellState& aState,
                  Incarnation aSelf,
                  std::size_t aMax,
                  std::span<const Incarnation> aAvoid)
{
  std::vector<wire::SplitKeyT> moves;
  const Counts counts = updateShardRates(aState, aSelf, aAvoid);
  if (counts.empty()) {
    return moves;
  }
  for (const auto& [keyHash, split] : aState.mSplitKeys) {
    if (moves.size() == aMax) {
      break;
    }
    if (split.mOwnership.mOwner != aSelf) {
      continue;
    }
    wire::SplitKeyT move;
    move.incarnation = aSelf;
    move.key_hash = keyHash;
    move.shard = split.mShard;
    move.base_epoch = split.mOwnership.mEpoch;
    move.to = leastLoaded(counts, keyHash);
    moves.push_back(move);
  }
  return moves;
}

std::vector<wire::ShardGrant>
planInitialAssignment(const CellState& aState,
                      std::span<const Incarnation> aAvoid)
{
  const std::size_t all = aState.mShards.size();
  return giveAway(aState, 0, updateShardRates(aState, 0, aAvoid), all);
}

bool
awaitsFirstReports(const CellState& aState)
{
  const bool anyOwned = std::ranges::any_of(
    aState.mShards, [](const Ownership& aShard) { return aShard.mOwner != 0; });
  return !anyOwned &&
         std::ranges::any_of(aState.mMembers, [](const auto& aEntry) {
           const Member& member = aEntry.second;
           return member.mStatus == MemberStatus::Active &&
                  member.mUpstreamDown && member.mUpstreamLife == 0;
         });
}

std::vector<wire::ShardGrant>
planEvenSpread(const CellState& aState,
               std::size_t aMax,
               std::span<const Incarnation> aAvoid,
               const TakeShardFn& aTake)
{
  std::vector<wire::ShardGrant> grants;
  Counts counts = updateShardRates(aState, 0, aAvoid);
  if (counts.empty()) {
    return grants;
  }
  const Counts targets = evenTargets(counts);
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    if (grants.size() == aMax) {
      break;
    }
    const Ownership& ownership = aState.mShards[shard];
    const auto owner = counts.find(ownership.mOwner);
    if (owner == counts.end() || owner->second <= targets.at(owner->first)) {
      continue;
    }
    const Incarnation to = takerOf(shard, counts, targets, aTake);
    if (to == 0) {
      continue;
    }
    --owner->second;
    ++counts[to];
    grants.emplace_back(shard, ownership.mEpoch, to);
  }
  return grants;
}

}

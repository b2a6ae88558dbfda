#include "radishroad/ownership/handoff.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <map>

namespace radishroad {

namespace {

using ShardCounts = std::map<Incarnation, std::size_t>;

/// Number of shards owned by each member that may own shards, without aExcept
/// and the members in aAvoid.
ShardCounts
countShards(const CellState& aState,
            Incarnation aExcept,
            std::span<const Incarnation> aAvoid)
{
  ShardCounts counts;
  for (const auto& [incarnation, member] : aState.mMembers) {
    const bool avoided = incarnation == aExcept ||
                         std::ranges::find(aAvoid, incarnation) != aAvoid.end();
    if (!avoided && isEligibleOwner(aState, incarnation)) {
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

/// Returns the member with the fewest shards. Ties are broken by rendezvous
/// hash, so that several owners that drain at once do not all choose the same
/// member.
Incarnation
leastLoaded(const ShardCounts& aCounts, std::uint64_t aKey)
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

/// Assigns the shards of aOwner to the least loaded members of aCounts.
std::vector<wire::ShardGrant>
distributeShards(const CellState& aState,
                 Incarnation aOwner,
                 ShardCounts aCounts,
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

/// Returns the member with the fewest shards among those below their target
/// that have capacity for the shard; 0 if there is none.
Incarnation
chooseRecipient(Shard aShard,
                const ShardCounts& aCounts,
                const ShardCounts& aTargets,
                const ReserveShardFn& aReserve)
{
  ShardCounts belowTarget;
  for (const auto& [incarnation, count] : aCounts) {
    if (count < aTargets.at(incarnation)) {
      belowTarget[incarnation] = count;
    }
  }
  while (!belowTarget.empty()) {
    const Incarnation to = leastLoaded(belowTarget, aShard);
    if (!aReserve || aReserve(aShard, to)) {
      return to;
    }
    belowTarget.erase(to);
  }
  return 0;
}

/// Number of shards that each member has in an even spread. The members that
/// own the most get the larger shares, which minimizes moves.
ShardCounts
targetCounts(const ShardCounts& aCounts)
{
  std::vector<std::pair<std::size_t, Incarnation>> byCount;
  std::size_t total = 0;
  for (const auto& [incarnation, count] : aCounts) {
    byCount.emplace_back(count, incarnation);
    total += count;
  }
  std::sort(byCount.rbegin(), byCount.rend());
  const std::size_t share = total / byCount.size();
  std::size_t remainder = total % byCount.size();
  ShardCounts targets;
  for (const auto& [count, incarnation] : byCount) {
    targets[incarnation] = share + (remainder > 0 ? 1 : 0);
    remainder -= remainder > 0 ? 1 : 0;
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
  return distributeShards(
    aState, aSelf, countShards(aState, aSelf, aAvoid), aMax);
}

std::vector<wire::SplitKeyT>
planSplitKeyEvacuation(const CellState& aState,
                       Incarnation aSelf,
                       std::size_t aMax,
                       std::span<const Incarnation> aAvoid)
{
  std::vector<wire::SplitKeyT> moves;
  const ShardCounts counts = countShards(aState, aSelf, aAvoid);
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
  return distributeShards(aState, 0, countShards(aState, 0, aAvoid), all);
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
                  member.mUpstreamDown && member.mUpstreamIncarnation == 0;
         });
}

std::vector<wire::ShardGrant>
planRebalance(const CellState& aState,
              std::size_t aMax,
              std::span<const Incarnation> aAvoid,
              const ReserveShardFn& aReserve)
{
  std::vector<wire::ShardGrant> grants;
  ShardCounts counts = countShards(aState, 0, aAvoid);
  if (counts.empty()) {
    return grants;
  }
  const ShardCounts targets = targetCounts(counts);
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    if (grants.size() == aMax) {
      break;
    }
    const Ownership& ownership = aState.mShards[shard];
    const auto owner = counts.find(ownership.mOwner);
    if (owner == counts.end() || owner->second <= targets.at(owner->first)) {
      continue;
    }
    const Incarnation to = chooseRecipient(shard, counts, targets, aReserve);
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

#include "radishroad/policy/balancer.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A split key is cold while its rate is below this share of the mean load of
/// an upstream. It is merged back into its shard once it has been cold for
/// kColdKeyDelay.
constexpr double kColdKeyShare = 0.01;
constexpr Millis kColdKeyDelay{ 30000 };
/// A split key is not moved again within this time.
constexpr Millis kKeyCooldown{ 30000 };
/// No more keys are split out while a cell has this many split keys.
constexpr std::size_t kMaxPlannedSplitKeys = 256;
constexpr std::size_t kMaxKeyMovesPerPlan = 4;
/// A planned move that is not in the cell state after this time is abandoned.
constexpr Millis kKeyMoveTimeout{ 2000 };

/// Returns the record with which a key's owner moves the key to aTo; 0 merges
/// the key back into its shard.
wire::SplitKeyT
makeMove(const CellState& aState, std::uint64_t aKeyHash, Incarnation aTo)
{
  const Ownership ownership = ownerOf(aState, aKeyHash);
  wire::SplitKeyT move;
  move.incarnation = ownership.mOwner;
  move.key_hash = aKeyHash;
  move.shard = shardOf(aKeyHash);
  move.base_epoch = ownership.mEpoch;
  move.to = aTo;
  return move;
}

}

bool
Balancer::awaitsPlannedKeyMoves(const CellState& aState, Millis aNow) const
{
  if (aNow - mKeyMovesPlannedAt >= kKeyMoveTimeout) {
    return false;
  }
  return std::ranges::any_of(
    mPlannedKeyMoves, [&](const wire::SplitKeyT& aMove) {
      const Ownership ownership = ownerOf(aState, aMove.key_hash);
      return ownership.mOwner == aMove.incarnation &&
             ownership.mEpoch == aMove.base_epoch;
    });
}

std::vector<wire::SplitKeyT>
Balancer::planKeyMoves(const CellState& aState,
                       const MayOwnFn& aMayOwn,
                       Millis aNow)
{
  updateSplitKeys(aState, aNow);
  const std::vector<MemberLoad> loads = memberLoads(aState, aMayOwn, aNow);
  if (loads.size() < 2 || awaitsPlannedKeyMoves(aState, aNow)) {
    return {};
  }
  double sum = 0;
  for (const MemberLoad& load : loads) {
    sum += load.mLoad;
  }
  mSplitKeys.updateColdSince(
    kColdKeyShare * sum / static_cast<double>(loads.size()), aNow);
  mPlannedKeyMoves = planMerges(aState, aMayOwn, aNow);
  if (updateRebalancing(loads, aNow) && mPlannedKeyMoves.empty()) {
    mPlannedKeyMoves = planHotKeyMoves(aState, loads, aNow);
  }
  mKeyMovesPlannedAt = aNow;
  return mPlannedKeyMoves;
}

std::vector<wire::SplitKeyT>
Balancer::planMerges(const CellState& aState,
                     const MayOwnFn& aMayOwn,
                     Millis aNow) const
{
  std::vector<wire::SplitKeyT> merges;
  for (const auto& [hash, key] : mSplitKeys.keys()) {
    const bool cold = key.mColdSince &&
                      aNow - *key.mColdSince >= kColdKeyDelay &&
                      aNow - key.mOwnedSince >= kColdKeyDelay;
    const Incarnation to = aState.mShards[key.mShard].mOwner;
    const bool possible = key.mOwner != 0 && (to == key.mOwner || aMayOwn(to));
    if (cold && possible && merges.size() < kMaxKeyMovesPerPlan) {
      merges.push_back(makeMove(aState, hash, 0));
    }
  }
  return merges;
}

std::vector<wire::SplitKeyT>
Balancer::planHotKeyMoves(const CellState& aState,
                          std::vector<MemberLoad> aLoads,
                          Millis aNow) const
{
  std::vector<wire::SplitKeyT> moves;
  CellState planned = aState;
  while (moves.size() < kMaxKeyMovesPerPlan) {
    const std::span<MemberLoad> overloaded = sortAndTakeOverloaded(aLoads);
    MemberLoad& to = aLoads.back();
    const auto from =
      std::ranges::find_if(overloaded, [&](const MemberLoad& aFrom) {
        return bestKey(planned, aFrom, to, aNow).has_value();
      });
    if (from == overloaded.end()) {
      break;
    }
    const std::optional<wire::HotKeyT> key = bestKey(planned, *from, to, aNow);
    from->mLoad -= key->rate;
    to.mLoad += key->rate;
    moves.push_back(makeMove(aState, key->key_hash, to.mMember));
    planned.mSplitKeys[key->key_hash] = { key->shard, { to.mMember, 0 } };
  }
  return moves;
}

bool
Balancer::isWorthSplitting(const CellState& aPlanned,
                           const MemberLoad& aFrom,
                           const MemberLoad& aTo,
                           double aRate,
                           Millis aNow) const
{
  const std::optional<Shard> shard = bestShard(aPlanned, aFrom, aTo, aNow);
  if (!shard) {
    return true;
  }
  const double afterShardMove =
    maxUtilizationAfter(aFrom, aTo, mShards[*shard].mRate);
  return maxUtilizationAfter(aFrom, aTo, aRate) <=
         afterShardMove + mOptions.mMinGain * aFrom.utilization();
}

std::optional<wire::HotKeyT>
Balancer::bestKey(const CellState& aPlanned,
                  const MemberLoad& aFrom,
                  const MemberLoad& aTo,
                  Millis aNow) const
{
  std::optional<wire::HotKeyT> best;
  double lowestPeak = aFrom.utilization() * (1 - mOptions.mMinGain);
  for (const wire::HotKeyT& key : movableKeys(aPlanned, aFrom.mMember, aNow)) {
    const double peak = maxUtilizationAfter(aFrom, aTo, key.rate);
    if (peak < lowestPeak) {
      lowestPeak = peak;
      best = key;
    }
  }
  if (best && !isWorthSplitting(aPlanned, aFrom, aTo, best->rate, aNow)) {
    return std::nullopt;
  }
  return best;
}

std::vector<wire::HotKeyT>
Balancer::movableKeys(const CellState& aPlanned,
                      Incarnation aOwner,
                      Millis aNow) const
{
  std::vector<wire::HotKeyT> movable;
  const auto member = mMembers.find(aOwner);
  const bool hasRoom = aPlanned.mSplitKeys.size() < kMaxPlannedSplitKeys;
  if (member != mMembers.end() && hasRoom) {
    for (const wire::HotKeyT& key : member->second.mHotKeys) {
      const bool inShard = !aPlanned.mSplitKeys.contains(key.key_hash) &&
                           key.shard == shardOf(key.key_hash) &&
                           aPlanned.mShards[key.shard].mOwner == aOwner;
      if (inShard) {
        movable.push_back(key);
      }
    }
  }
  for (const auto& [hash, key] : mSplitKeys.keys()) {
    const auto it = aPlanned.mSplitKeys.find(hash);
    const bool owned = it != aPlanned.mSplitKeys.end() &&
                       it->second.mOwnership.mOwner == aOwner &&
                       key.mOwner == aOwner;
    if (owned && aNow - key.mOwnedSince >= kKeyCooldown) {
      wire::HotKeyT move;
      move.key_hash = hash;
      move.shard = key.mShard;
      move.rate = static_cast<float>(key.mRate);
      movable.push_back(move);
    }
  }
  return movable;
}

}

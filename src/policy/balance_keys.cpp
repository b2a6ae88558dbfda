#include "radishroad/policy/balance.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A split key is cold below this share of the mean load of an upstream, and
/// is returned to its shard once that has lasted.
constexpr double kColdKey = 0.01;
constexpr Millis kColdPatience{ 30000 };
/// A split key that was moved rests.
constexpr Millis kKeyRest{ 30000 };
/// Split keys of a cell beyond which no more are made.
constexpr std::size_t kMaxPlannedSplitKeys = 256;
constexpr std::size_t kMaxKeyMoves = 4;
/// A plan that has not come into effect by then is given up.
constexpr Millis kOrderTimeout{ 2000 };

/// The owner's record that gives a key to aTo; 0 returns it to its shard.
wire::SplitKeyT
makeMove(const CellState& aState, std::uint64_t aKeyHash, Incarnation aTo)
{
  const Ownership now = ownerOf(aState, aKeyHash);
  wire::SplitKeyT move;
  move.incarnation = now.mOwner;
  move.key_hash = aKeyHash;
  move.shard = shardOf(aKeyHash);
  move.base_epoch = now.mEpoch;
  move.to = aTo;
  return move;
}

}

bool
Balancer::awaitsOrdered(const CellState& aState, Millis aNow) const
{
  if (aNow - mOrderedAt >= kOrderTimeout) {
    return false;
  }
  return std::ranges::any_of(mOrderedKeys, [&](const wire::SplitKeyT& aMove) {
    const Ownership now = ownerOf(aState, aMove.key_hash);
    return now.mOwner == aMove.incarnation && now.mEpoch == aMove.base_epoch;
  });
}

std::vector<wire::SplitKeyT>
Balancer::planKeyMoves(const CellState& aState,
                       const MayOwnFn& aMayOwn,
                       Millis aNow)
{
  follow(aState, aNow);
  const std::vector<Standing> all = standings(aState, aMayOwn, aNow);
  if (all.size() < 2 || awaitsOrdered(aState, aNow)) {
    return {};
  }
  double sum = 0;
  for (const Standing& standing : all) {
    sum += standing.mLoad;
  }
  mSplitKeys.noteCold(kColdKey * sum / static_cast<double>(all.size()), aNow);
  mOrderedKeys = planMerges(aState, aMayOwn, aNow);
  if (outOfBand(all, aNow) && mOrderedKeys.empty()) {
    mOrderedKeys = planHotKeys(aState, all, aNow);
  }
  mOrderedAt = aNow;
  return mOrderedKeys;
}

std::vector<wire::SplitKeyT>
Balancer::planMerges(const CellState& aState,
                     const MayOwnFn& aMayOwn,
                     Millis aNow) const
{
  std::vector<wire::SplitKeyT> merges;
  for (const auto& [hash, key] : mSplitKeys.keys()) {
    const bool cold = key.mColdSince &&
                      aNow - *key.mColdSince >= kColdPatience &&
                      aNow - key.mOwnedSince >= kColdPatience;
    const Incarnation to = aState.mShards[key.mShard].mOwner;
    const bool possible = key.mOwner != 0 && (to == key.mOwner || aMayOwn(to));
    if (cold && possible && merges.size() < kMaxKeyMoves) {
      merges.push_back(makeMove(aState, hash, 0));
    }
  }
  return merges;
}

std::vector<wire::SplitKeyT>
Balancer::planHotKeys(const CellState& aState,
                      std::vector<Standing> aStandings,
                      Millis aNow) const
{
  std::vector<wire::SplitKeyT> moves;
  CellState planned = aState;
  while (moves.size() < kMaxKeyMoves) {
    const std::span<Standing> high = sortOutHigh(aStandings);
    Standing& to = aStandings.back();
    const auto from = std::ranges::find_if(high, [&](const Standing& aFrom) {
      return bestKey(planned, aFrom, to, aNow).has_value();
    });
    if (from == high.end()) {
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
                           const Standing& aFrom,
                           const Standing& aTo,
                           double aRate,
                           Millis aNow) const
{
  const std::optional<Shard> shard = bestShard(aPlanned, aFrom, aTo, aNow);
  if (!shard) {
    return true;
  }
  const double byShard = peakAfter(aFrom, aTo, mShards[*shard].mRate);
  return peakAfter(aFrom, aTo, aRate) <=
         byShard + mPace.mMinGain * aFrom.used();
}

std::optional<wire::HotKeyT>
Balancer::bestKey(const CellState& aPlanned,
                  const Standing& aFrom,
                  const Standing& aTo,
                  Millis aNow) const
{
  std::optional<wire::HotKeyT> best;
  double bestPeak = aFrom.used() * (1 - mPace.mMinGain);
  for (const wire::HotKeyT& key : movableKeys(aPlanned, aFrom.mMember, aNow)) {
    const double peak = peakAfter(aFrom, aTo, key.rate);
    if (peak < bestPeak) {
      bestPeak = peak;
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
  const bool room = aPlanned.mSplitKeys.size() < kMaxPlannedSplitKeys;
  if (member != mMembers.end() && room) {
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
    if (owned && aNow - key.mOwnedSince >= kKeyRest) {
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

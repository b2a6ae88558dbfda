#include "radishroad/policy/balance.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000.0;
/// Time constant of the smoothed loads.
constexpr double kSmoothSeconds = 5.0;
/// Moves begin above this share of the mean and end below the other.
constexpr double kHighRatio = 1.3;
constexpr double kLowRatio = 1.15;
constexpr Millis kHighPatience{ 3000 };
/// A shard that was moved rests.
constexpr Millis kShardRest{ 30000 };
constexpr std::size_t kMaxMoves = 4;
/// A move must lower the higher of the two by this share of the mean.
constexpr double kMinGain = 0.03;

/// An upstream that takes so many times the median cost is a straggler.
constexpr double kSlowRatio = 2.0;
constexpr Millis kStragglerPatience{ 10000 };

/// Window taken for a member that has not reported yet.
constexpr double kNewWindow = 1.0;

/// A shard is heavy above this share of the mean load of an upstream.
constexpr double kHeavyShard = 0.5;
constexpr double kHotKeyPart = 0.4;

double
smoothed(double aOld, double aNew, Millis aPassed)
{
  const double seconds = static_cast<double>(aPassed.mCount) / kMillisPerSecond;
  const double gain = 1 - std::exp(-seconds / kSmoothSeconds);
  return aOld + gain * (aNew - aOld);
}

}

std::optional<wire::HotKeyT>
Balancer::hotKeyOf(const wire::LoadReportT& aReport)
{
  for (const auto& key : aReport.hot_keys) {
    const auto it =
      std::ranges::find(aReport.shards, key->shard, &wire::ShardLoad::shard);
    if (it != aReport.shards.end() &&
        key->requests >= kHotKeyPart * it->requests()) {
      return *key;
    }
  }
  return std::nullopt;
}

void
Balancer::onReport(const wire::LoadReportT& aReport,
                   const CellState& aState,
                   Millis aNow)
{
  const bool first = !mMembers.contains(aReport.incarnation);
  MemberView& member = mMembers[aReport.incarnation];
  const Millis passed = aNow - member.mReportedAt;
  member.mReportedAt = aNow;
  member.mWindow = aReport.window;
  member.mHotKey = hotKeyOf(aReport);
  if (first || passed.mCount <= 0) {
    return;
  }
  const double seconds = static_cast<double>(passed.mCount) / kMillisPerSecond;
  double requests = 0;
  double busyMs = 0;
  double splitRate = 0;
  for (const wire::ShardLoad& load : aReport.shards) {
    if (load.shard() >= kShardCount) {
      continue;
    }
    requests += load.requests();
    busyMs += load.busy_ms();
    const double rate = load.requests() / seconds;
    if (aState.mShards[load.shard()].mOwner == aReport.incarnation) {
      ShardView& shard = mShards[load.shard()];
      shard.mRate = smoothed(shard.mRate, rate, passed);
    } else {
      splitRate += rate;
    }
  }
  member.mSplitRate = smoothed(member.mSplitRate, splitRate, passed);
  if (requests > 0) {
    const double cost = busyMs / requests;
    member.mCost =
      member.mCost > 0 ? smoothed(member.mCost, cost, passed) : cost;
  }
}

void
Balancer::forget(Incarnation aMember)
{
  mMembers.erase(aMember);
}

double
Balancer::meanCost() const
{
  std::vector<double> costs;
  for (const auto& [id, member] : mMembers) {
    if (member.mCost > 0) {
      costs.push_back(member.mCost);
    }
  }
  if (costs.empty()) {
    return 1;
  }
  const auto middle =
    costs.begin() + static_cast<std::ptrdiff_t>(costs.size() / 2);
  std::nth_element(costs.begin(), middle, costs.end());
  return std::max(1.0, *middle);
}

double
Balancer::costOf(const MemberView& aView) const
{
  return aView.mCost > 0 ? aView.mCost : meanCost();
}

double
Balancer::loadAt(Shard aShard, Incarnation aMember) const
{
  const auto it = mMembers.find(aMember);
  const double cost = it != mMembers.end() ? costOf(it->second) : meanCost();
  return mShards.at(aShard).mRate * cost / kMillisPerSecond;
}

MoveAllowance
Balancer::allowance(const CellState& aState) const
{
  std::map<Incarnation, double> rates;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    rates[aState.mShards[shard].mOwner] += mShards[shard].mRate;
  }
  MoveAllowance allowance;
  for (const auto& [id, member] : aState.mMembers) {
    const auto it = mMembers.find(id);
    const bool reported =
      it != mMembers.end() && it->second.mReportedAt.mCount > 0;
    const MemberView view = reported ? it->second : MemberView{};
    const double rate = rates[id] + view.mSplitRate;
    const double busy = rate * costOf(view) / kMillisPerSecond;
    allowance.setMember(id, reported ? view.mWindow : kNewWindow, busy);
  }
  return allowance;
}

double
Balancer::capacityOf(MemberView& aView, Millis aNow) const
{
  const double ratio = aView.mCost / meanCost();
  if (ratio < kSlowRatio) {
    aView.mSlowSince.reset();
    return 1;
  }
  if (!aView.mSlowSince) {
    aView.mSlowSince = aNow;
  }
  const bool lasting = aNow - *aView.mSlowSince >= kStragglerPatience;
  return lasting ? 1 / ratio : 1;
}

std::vector<Balancer::Standing>
Balancer::standings(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  std::vector<Standing> all;
  for (const auto& [id, member] : aState.mMembers) {
    if (aMayOwn(id)) {
      MemberView& view = mMembers[id];
      all.push_back({ id, capacityOf(view, aNow), view.mSplitRate });
    }
  }
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    const Incarnation owner = aState.mShards[shard].mOwner;
    const auto it = std::ranges::find(all, owner, &Standing::mMember);
    if (it != all.end()) {
      it->mLoad += mShards[shard].mRate;
    }
  }
  return all;
}

bool
Balancer::outOfBand(std::span<const Standing> aStandings, Millis aNow)
{
  double sum = 0;
  double most = 0;
  for (const Standing& standing : aStandings) {
    sum += standing.used();
    most = std::max(most, standing.used());
  }
  const double mean = sum / static_cast<double>(aStandings.size());
  if (most <= mean * kHighRatio) {
    mHighSince.reset();
    mMoving = mMoving && most > mean * kLowRatio;
    return mMoving;
  }
  mHighSince = mHighSince.value_or(aNow);
  mMoving = mMoving || aNow - *mHighSince >= kHighPatience;
  return mMoving;
}

bool
Balancer::mayMove(Shard aShard, Millis aNow) const
{
  const ShardView& view = mShards[aShard];
  return view.mRate > 0 &&
         (!view.mMovedAt || aNow - *view.mMovedAt >= kShardRest);
}

std::optional<Shard>
Balancer::bestShard(const CellState& aState,
                    const Standing& aFrom,
                    const Standing& aTo,
                    Millis aNow) const
{
  std::optional<Shard> best;
  double bestPeak = aFrom.used();
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    if (aState.mShards[shard].mOwner != aFrom.mMember ||
        !mayMove(shard, aNow)) {
      continue;
    }
    const double rate = mShards[shard].mRate;
    const double left = (aFrom.mLoad - rate) / aFrom.mCapacity;
    const double given = (aTo.mLoad + rate) / aTo.mCapacity;
    const double peak = std::max(left, given);
    if (peak < bestPeak) {
      bestPeak = peak;
      best = shard;
    }
  }
  const double gain = aFrom.used() - bestPeak;
  return gain > kMinGain * aFrom.used() ? best : std::nullopt;
}

std::vector<wire::ShardGrant>
Balancer::planMoves(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  std::vector<wire::ShardGrant> moves;
  std::vector<Standing> all = standings(aState, aMayOwn, aNow);
  if (all.size() < 2 || !outOfBand(all, aNow)) {
    return moves;
  }
  CellState planned = aState;
  MoveAllowance allowed = allowance(aState);
  while (moves.size() < kMaxMoves) {
    std::ranges::sort(all, {}, &Standing::used);
    Standing& from = all.back();
    Standing& to = all.front();
    const std::optional<Shard> shard = bestShard(planned, from, to, aNow);
    if (!shard || !allowed.take(to.mMember, loadAt(*shard, to.mMember))) {
      break;
    }
    const double rate = mShards[*shard].mRate;
    from.mLoad -= rate;
    to.mLoad += rate;
    mShards[*shard].mMovedAt = aNow;
    planned.mShards[*shard].mOwner = to.mMember;
    moves.emplace_back(*shard, aState.mShards[*shard].mEpoch, to.mMember);
  }
  return moves;
}

std::vector<wire::SplitKeyT>
Balancer::planSplits(const CellState& aState,
                     const MayOwnFn& aMayOwn,
                     Millis aNow)
{
  std::vector<wire::SplitKeyT> splits;
  std::vector<Standing> all = standings(aState, aMayOwn, aNow);
  double sum = 0;
  for (const Standing& standing : all) {
    sum += standing.mLoad;
  }
  const double mean =
    sum / static_cast<double>(std::max<std::size_t>(1, all.size()));
  for (const Standing& standing : all) {
    if (standing.used() <= mean * kHighRatio) {
      continue;
    }
    const std::optional<wire::HotKeyT>& key =
      mMembers[standing.mMember].mHotKey;
    const auto to = std::ranges::min_element(all, {}, &Standing::used);
    if (!key || key->shard >= kShardCount || to->mMember == standing.mMember ||
        aState.mSplitKeys.contains(key->key_hash)) {
      continue;
    }
    const Ownership& owner = aState.mShards[key->shard];
    const bool heavy = owner.mOwner == standing.mMember &&
                       mShards[key->shard].mRate > mean * kHeavyShard;
    if (heavy) {
      wire::SplitKeyT split;
      split.incarnation = standing.mMember;
      split.key_hash = key->key_hash;
      split.shard = key->shard;
      split.base_epoch = owner.mEpoch;
      split.to = to->mMember;
      // One at a time: the next reports show what it brought.
      splits.push_back(split);
      break;
    }
  }
  return splits;
}

}

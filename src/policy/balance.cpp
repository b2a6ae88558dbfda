#include "radishroad/policy/balance.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000.0;
/// Requests a second in a cell below which its loads are not judged.
constexpr double kLeastTraffic = 20;
/// Bounds of a member's capacity against the mean.
constexpr double kLeastCapacity = 0.15;
constexpr double kMostCapacity = 1.6;
/// An upstream that takes so many times the median cost is a straggler.
constexpr double kSlowRatio = 2.0;
constexpr Millis kStragglerPatience{ 10000 };

/// Window taken for a member that has not reported yet.
constexpr double kNewWindow = 1.0;

double
smoothed(double aOld, double aNew, Millis aPassed, double aSeconds)
{
  const double seconds = static_cast<double>(aPassed.mCount) / kMillisPerSecond;
  const double gain = 1 - std::exp(-seconds / aSeconds);
  return aOld + gain * (aNew - aOld);
}

}

double
Balancer::lastRateOf(std::uint64_t aKeyHash) const
{
  double rate = 0;
  for (const auto& [id, member] : mMembers) {
    for (const wire::HotKeyT& key : member.mHotKeys) {
      rate = key.key_hash == aKeyHash ? std::max<double>(rate, key.rate) : rate;
    }
  }
  return rate;
}

void
Balancer::follow(const CellState& aState, Millis aNow)
{
  SplitKeyLoads::Hooks hooks;
  hooks.mRateBefore = [this](std::uint64_t aHash) { return lastRateOf(aHash); };
  hooks.mAddToShard = [this](Shard aShard, double aRate) {
    ShardView& shard = mShards.at(aShard);
    shard.mRate = std::max(0.0, shard.mRate + aRate);
  };
  mSplitKeys.follow(aState, hooks, aNow);
}

void
Balancer::onReport(const wire::LoadReportT& aReport,
                   const CellState& aState,
                   Millis aNow)
{
  follow(aState, aNow);
  const bool first = !mMembers.contains(aReport.incarnation);
  MemberView& member = mMembers[aReport.incarnation];
  const Millis passed = aNow - member.mReportedAt;
  member.mReportedAt = aNow;
  member.mWindow = aReport.window;
  if (aReport.capacity > 0) {
    const bool falls = aReport.capacity < member.mCapacity;
    const double seconds = falls ? mPace.mFallSeconds : mPace.mSmoothSeconds;
    member.mCapacity =
      member.mCapacity > 0
        ? smoothed(member.mCapacity, aReport.capacity, passed, seconds)
        : aReport.capacity;
  }
  member.mHotKeys.clear();
  for (const std::unique_ptr<wire::HotKeyT>& key : aReport.hot_keys) {
    member.mHotKeys.push_back(*key);
  }
  mSplitKeys.onReport(aReport, aNow);
  if (first || passed.mCount <= 0) {
    return;
  }
  countShards(aReport, aState, passed);
  double requests = 0;
  double busyMs = 0;
  for (const wire::ShardLoad& load : aReport.shards) {
    requests += load.requests();
    busyMs += load.busy_ms();
  }
  if (requests > 0) {
    const double cost = busyMs / requests;
    member.mCost =
      member.mCost > 0
        ? smoothed(member.mCost, cost, passed, mPace.mSmoothSeconds)
        : cost;
  }
}

void
Balancer::countShards(const wire::LoadReportT& aReport,
                      const CellState& aState,
                      Millis aPassed)
{
  const double seconds = static_cast<double>(aPassed.mCount) / kMillisPerSecond;
  for (const wire::ShardLoad& load : aReport.shards) {
    if (load.shard() >= kShardCount ||
        aState.mShards[load.shard()].mOwner != aReport.incarnation) {
      continue;
    }
    const double split = mSplitKeys.rateOf(aReport.incarnation, load.shard());
    const double rate = std::max(0.0, load.requests() / seconds - split);
    ShardView& shard = mShards[load.shard()];
    shard.mRate = smoothed(shard.mRate, rate, aPassed, mPace.mSmoothSeconds);
  }
}

bool
Balancer::hasTraffic() const
{
  double rate = 0;
  for (const ShardView& shard : mShards) {
    rate += shard.mRate;
  }
  return rate >= kLeastTraffic;
}

double
Balancer::peakAfter(const Standing& aFrom, const Standing& aTo, double aRate)
{
  const double left = (aFrom.mLoad - aRate) / aFrom.mCapacity;
  const double given = (aTo.mLoad + aRate) / aTo.mCapacity;
  return std::max(left, given);
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
    const double rate = rates[id] + mSplitKeys.rateOf(id);
    const double busy = rate * costOf(view) / kMillisPerSecond;
    allowance.setMember(id, reported ? view.mWindow : kNewWindow, busy);
  }
  return allowance;
}

Balancer::Pace
Balancer::quickPace()
{
  Pace pace;
  pace.mHighRatio = 1.12;
  pace.mLowRatio = 1.05;
  pace.mLeastUse = 0.4;
  pace.mPatience = Millis{ 500 };
  pace.mShardRest = Millis{ 1500 };
  pace.mMaxMoves = 24;
  pace.mMinGain = 0.002;
  pace.mMoveBudget = 128;
  pace.mBudgetSpan = Millis{ 5000 };
  pace.mSmoothSeconds = 1.5;
  pace.mFallSeconds = 0.6;
  pace.mByCapacity = true;
  return pace;
}

double
Balancer::meanCapacity() const
{
  double sum = 0;
  double told = 0;
  for (const auto& [id, member] : mMembers) {
    sum += member.mCapacity;
    told += member.mCapacity > 0 ? 1 : 0;
  }
  return told > 0 ? sum / told : 1;
}

double
Balancer::capacityOf(MemberView& aView, Millis aNow) const
{
  if (mPace.mByCapacity) {
    // A few lucky or unlucky runs must not make a member look out of range.
    const double mean = meanCapacity();
    const double told = aView.mCapacity > 0 ? aView.mCapacity : mean;
    return std::clamp(told, mean * kLeastCapacity, mean * kMostCapacity);
  }
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
  // What those that are gone bore does not count for the mean.
  std::erase_if(mMembers, [&aState](const auto& aEntry) {
    return !aState.mMembers.contains(aEntry.first);
  });
  std::vector<Standing> all;
  for (const auto& [id, member] : aState.mMembers) {
    if (aMayOwn(id)) {
      MemberView& view = mMembers[id];
      all.push_back({ id, capacityOf(view, aNow), mSplitKeys.rateOf(id) });
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

double
Balancer::meanUsed(std::span<const Standing> aStandings)
{
  double sum = 0;
  for (const Standing& standing : aStandings) {
    sum += standing.used();
  }
  return sum / static_cast<double>(std::max<std::size_t>(aStandings.size(), 1));
}

Balancer::Summary
Balancer::summarize(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  const std::vector<Standing> all = standings(aState, aMayOwn, aNow);
  Summary summary;
  summary.mMembers = all.size();
  summary.mMeanUse = meanUsed(all);
  summary.mMeanCapacity = meanCapacity();
  for (const Standing& standing : all) {
    summary.mRate += standing.mLoad;
    summary.mHighestUse = std::max(summary.mHighestUse, standing.used());
  }
  return summary;
}

std::span<Balancer::Standing>
Balancer::sortOutHigh(std::span<Standing> aStandings) const
{
  const double low = mPace.mLowRatio * meanUsed(aStandings);
  std::ranges::sort(aStandings, std::ranges::greater{}, &Standing::used);
  const auto end = std::ranges::find_if(
    aStandings, [low](const Standing& aOne) { return aOne.used() <= low; });
  return aStandings.first(static_cast<std::size_t>(end - aStandings.begin()));
}

bool
Balancer::outOfBand(std::span<const Standing> aStandings, Millis aNow)
{
  const double mean = meanUsed(aStandings);
  const double most =
    std::ranges::max_element(aStandings, {}, &Standing::used)->used();
  if (most <= mean * mPace.mHighRatio || most < mPace.mLeastUse) {
    mHighSince.reset();
    mMoving = mMoving && most > mean * mPace.mLowRatio;
    return mMoving;
  }
  mHighSince = mHighSince.value_or(aNow);
  mMoving = mMoving || aNow - *mHighSince >= mPace.mPatience;
  return mMoving;
}

bool
Balancer::mayMove(Shard aShard, Millis aNow) const
{
  const ShardView& view = mShards[aShard];
  return view.mRate > 0 &&
         (!view.mMovedAt || aNow - *view.mMovedAt >= mPace.mShardRest);
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
    const double peak = peakAfter(aFrom, aTo, mShards[shard].mRate);
    if (peak < bestPeak) {
      bestPeak = peak;
      best = shard;
    }
  }
  const double gain = aFrom.used() - bestPeak;
  return gain > mPace.mMinGain * aFrom.used() ? best : std::nullopt;
}

std::size_t
Balancer::moveBudget(Millis aNow) const
{
  const std::ptrdiff_t moved =
    std::ranges::count_if(mShards, [this, aNow](const ShardView& aView) {
      return aView.mMovedAt && aNow - *aView.mMovedAt < mPace.mBudgetSpan;
    });
  const std::size_t spent = static_cast<std::size_t>(moved);
  return spent < mPace.mMoveBudget ? mPace.mMoveBudget - spent : 0;
}

std::vector<wire::ShardGrant>
Balancer::planMoves(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  std::vector<wire::ShardGrant> moves;
  follow(aState, aNow);
  std::vector<Standing> all = standings(aState, aMayOwn, aNow);
  if (all.size() < 2 || !outOfBand(all, aNow) || awaitsOrdered(aState, aNow)) {
    return moves;
  }
  CellState planned = aState;
  MoveAllowance allowed = allowance(aState);
  const std::size_t most = std::min(mPace.mMaxMoves, moveBudget(aNow));
  while (moves.size() < most) {
    const std::span<Standing> high = sortOutHigh(all);
    Standing& to = all.back();
    const auto from = std::ranges::find_if(high, [&](const Standing& aFrom) {
      return bestShard(planned, aFrom, to, aNow).has_value();
    });
    if (from == high.end()) {
      break;
    }
    const Shard shard = *bestShard(planned, *from, to, aNow);
    if (!allowed.take(to.mMember, loadAt(shard, to.mMember))) {
      break;
    }
    const double rate = mShards[shard].mRate;
    from->mLoad -= rate;
    to.mLoad += rate;
    mShards[shard].mMovedAt = aNow;
    planned.mShards[shard].mOwner = to.mMember;
    moves.emplace_back(shard, aState.mShards[shard].mEpoch, to.mMember);
  }
  return moves;
}

}

#include "radishroad/policy/balancer.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000.0;
/// Below this request rate of a cell its loads cannot be distinguished from
/// noise.
constexpr double kMinRequestsPerSecond = 20;
/// Bounds of a member's capacity relative to the mean.
constexpr double kMinCapacityRatio = 0.15;
constexpr double kMaxCapacityRatio = 1.6;
/// An upstream is a straggler if its cost per request is this many times the
/// median.
constexpr double kStragglerCostRatio = 2.0;
constexpr Millis kStragglerDelay{ 10000 };

/// Window assumed for a member that has not reported yet.
constexpr double kDefaultWindow = 1.0;

double
smoothed(double aOld, double aNew, Millis aPassed, double aSeconds)
{
  const double seconds = static_cast<double>(aPassed.mCount) / kMillisPerSecond;
  const double gain = 1 - std::exp(-seconds / aSeconds);
  return aOld + gain * (aNew - aOld);
}

}

double
Balancer::lastReportedRate(std::uint64_t aKeyHash) const
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
Balancer::updateSplitKeys(const CellState& aState, Millis aNow)
{
  SplitKeyLoads::Hooks hooks;
  hooks.mLastKnownRate = [this](std::uint64_t aHash) {
    return lastReportedRate(aHash);
  };
  hooks.mAddShardRate = [this](Shard aShard, double aRate) {
    ShardView& shard = mShards.at(aShard);
    shard.mRate = std::max(0.0, shard.mRate + aRate);
  };
  mSplitKeys.update(aState, hooks, aNow);
}

void
Balancer::onReport(const wire::LoadReportT& aReport,
                   const CellState& aState,
                   Millis aNow)
{
  updateSplitKeys(aState, aNow);
  const bool first = !mMembers.contains(aReport.incarnation);
  MemberView& member = mMembers[aReport.incarnation];
  const Millis passed = aNow - member.mLastReportAt;
  member.mLastReportAt = aNow;
  member.mWindow = aReport.window;
  if (aReport.capacity > 0) {
    const bool isFalling = aReport.capacity < member.mCapacity;
    const double seconds =
      isFalling ? mOptions.mFallingCapacitySeconds : mOptions.mSmoothingSeconds;
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
  updateShardRates(aReport, aState, passed);
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
        ? smoothed(member.mCost, cost, passed, mOptions.mSmoothingSeconds)
        : cost;
  }
}

void
Balancer::updateShardRates(const wire::LoadReportT& aReport,
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
    shard.mRate =
      smoothed(shard.mRate, rate, aPassed, mOptions.mSmoothingSeconds);
  }
}

bool
Balancer::hasTraffic() const
{
  double rate = 0;
  for (const ShardView& shard : mShards) {
    rate += shard.mRate;
  }
  return rate >= kMinRequestsPerSecond;
}

double
Balancer::maxUtilizationAfter(const MemberLoad& aFrom,
                              const MemberLoad& aTo,
                              double aRate)
{
  const double fromUtilization = (aFrom.mLoad - aRate) / aFrom.mCapacity;
  const double toUtilization = (aTo.mLoad + aRate) / aTo.mCapacity;
  return std::max(fromUtilization, toUtilization);
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
Balancer::inFlightAt(Shard aShard, Incarnation aMember) const
{
  const auto it = mMembers.find(aMember);
  const double cost = it != mMembers.end() ? costOf(it->second) : meanCost();
  return mShards.at(aShard).mRate * cost / kMillisPerSecond;
}

InFlightHeadroom
Balancer::headroom(const CellState& aState) const
{
  std::map<Incarnation, double> rates;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    rates[aState.mShards[shard].mOwner] += mShards[shard].mRate;
  }
  InFlightHeadroom headroom;
  for (const auto& [id, member] : aState.mMembers) {
    const auto it = mMembers.find(id);
    const bool reported =
      it != mMembers.end() && it->second.mLastReportAt.mCount > 0;
    const MemberView view = reported ? it->second : MemberView{};
    const double rate = rates[id] + mSplitKeys.rateOf(id);
    const double inFlight = rate * costOf(view) / kMillisPerSecond;
    headroom.setMember(id, reported ? view.mWindow : kDefaultWindow, inFlight);
  }
  return headroom;
}

Balancer::Options
Balancer::capacityBasedOptions()
{
  Options options;
  options.mStartRatio = 1.12;
  options.mStopRatio = 1.05;
  options.mMinUtilization = 0.4;
  options.mStartDelay = Millis{ 500 };
  options.mShardCooldown = Millis{ 1500 };
  options.mMaxMovesPerPlan = 24;
  options.mMinGain = 0.002;
  options.mMaxMovesPerInterval = 128;
  options.mMoveBudgetInterval = Millis{ 5000 };
  options.mSmoothingSeconds = 1.5;
  options.mFallingCapacitySeconds = 0.6;
  options.mUsesReportedCapacity = true;
  return options;
}

double
Balancer::meanCapacity() const
{
  double sum = 0;
  double reporting = 0;
  for (const auto& [id, member] : mMembers) {
    sum += member.mCapacity;
    reporting += member.mCapacity > 0 ? 1 : 0;
  }
  return reporting > 0 ? sum / reporting : 1;
}

double
Balancer::capacityOf(MemberView& aView, Millis aNow) const
{
  if (mOptions.mUsesReportedCapacity) {
    // Clamp, so that a few fast or slow runs do not make a member an outlier.
    const double mean = meanCapacity();
    const double capacity = aView.mCapacity > 0 ? aView.mCapacity : mean;
    return std::clamp(
      capacity, mean * kMinCapacityRatio, mean * kMaxCapacityRatio);
  }
  const double ratio = aView.mCost / meanCost();
  if (ratio < kStragglerCostRatio) {
    aView.mSlowSince.reset();
    return 1;
  }
  if (!aView.mSlowSince) {
    aView.mSlowSince = aNow;
  }
  const bool isLasting = aNow - *aView.mSlowSince >= kStragglerDelay;
  return isLasting ? 1 / ratio : 1;
}

std::vector<Balancer::MemberLoad>
Balancer::memberLoads(const CellState& aState,
                      const MayOwnFn& aMayOwn,
                      Millis aNow)
{
  // Members that have left must not count towards the mean.
  std::erase_if(mMembers, [&aState](const auto& aEntry) {
    return !aState.mMembers.contains(aEntry.first);
  });
  std::vector<MemberLoad> loads;
  for (const auto& [id, member] : aState.mMembers) {
    if (aMayOwn(id)) {
      MemberView& view = mMembers[id];
      loads.push_back({ id, capacityOf(view, aNow), mSplitKeys.rateOf(id) });
    }
  }
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    const Incarnation owner = aState.mShards[shard].mOwner;
    const auto it = std::ranges::find(loads, owner, &MemberLoad::mMember);
    if (it != loads.end()) {
      it->mLoad += mShards[shard].mRate;
    }
  }
  return loads;
}

double
Balancer::meanUtilization(std::span<const MemberLoad> aLoads)
{
  double sum = 0;
  for (const MemberLoad& load : aLoads) {
    sum += load.utilization();
  }
  return sum / static_cast<double>(std::max<std::size_t>(aLoads.size(), 1));
}

Balancer::Summary
Balancer::summarize(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  const std::vector<MemberLoad> loads = memberLoads(aState, aMayOwn, aNow);
  Summary summary;
  summary.mMembers = loads.size();
  summary.mMeanUtilization = meanUtilization(loads);
  summary.mMeanCapacity = meanCapacity();
  for (const MemberLoad& load : loads) {
    summary.mRate += load.mLoad;
    summary.mMaxUtilization =
      std::max(summary.mMaxUtilization, load.utilization());
  }
  return summary;
}

std::span<Balancer::MemberLoad>
Balancer::sortAndTakeOverloaded(std::span<MemberLoad> aLoads) const
{
  const double stopThreshold = mOptions.mStopRatio * meanUtilization(aLoads);
  std::ranges::sort(aLoads, std::ranges::greater{}, &MemberLoad::utilization);
  const auto end =
    std::ranges::find_if(aLoads, [stopThreshold](const MemberLoad& aLoad) {
      return aLoad.utilization() <= stopThreshold;
    });
  return aLoads.first(static_cast<std::size_t>(end - aLoads.begin()));
}

bool
Balancer::updateRebalancing(std::span<const MemberLoad> aLoads, Millis aNow)
{
  const double mean = meanUtilization(aLoads);
  const double highest =
    std::ranges::max_element(aLoads, {}, &MemberLoad::utilization)
      ->utilization();
  if (highest <= mean * mOptions.mStartRatio ||
      highest < mOptions.mMinUtilization) {
    mOverloadedSince.reset();
    mRebalancing = mRebalancing && highest > mean * mOptions.mStopRatio;
    return mRebalancing;
  }
  mOverloadedSince = mOverloadedSince.value_or(aNow);
  mRebalancing =
    mRebalancing || aNow - *mOverloadedSince >= mOptions.mStartDelay;
  return mRebalancing;
}

bool
Balancer::canMove(Shard aShard, Millis aNow) const
{
  const ShardView& view = mShards[aShard];
  return view.mRate > 0 &&
         (!view.mMovedAt || aNow - *view.mMovedAt >= mOptions.mShardCooldown);
}

std::optional<Shard>
Balancer::bestShard(const CellState& aState,
                    const MemberLoad& aFrom,
                    const MemberLoad& aTo,
                    Millis aNow) const
{
  std::optional<Shard> best;
  double lowestPeak = aFrom.utilization();
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    if (aState.mShards[shard].mOwner != aFrom.mMember ||
        !canMove(shard, aNow)) {
      continue;
    }
    const double peak = maxUtilizationAfter(aFrom, aTo, mShards[shard].mRate);
    if (peak < lowestPeak) {
      lowestPeak = peak;
      best = shard;
    }
  }
  const double gain = aFrom.utilization() - lowestPeak;
  return gain > mOptions.mMinGain * aFrom.utilization() ? best : std::nullopt;
}

std::size_t
Balancer::moveBudget(Millis aNow) const
{
  const std::ptrdiff_t moved =
    std::ranges::count_if(mShards, [this, aNow](const ShardView& aView) {
      return aView.mMovedAt &&
             aNow - *aView.mMovedAt < mOptions.mMoveBudgetInterval;
    });
  const std::size_t spent = static_cast<std::size_t>(moved);
  return spent < mOptions.mMaxMovesPerInterval
           ? mOptions.mMaxMovesPerInterval - spent
           : 0;
}

std::vector<wire::ShardGrant>
Balancer::planMoves(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow)
{
  std::vector<wire::ShardGrant> moves;
  updateSplitKeys(aState, aNow);
  std::vector<MemberLoad> loads = memberLoads(aState, aMayOwn, aNow);
  if (loads.size() < 2 || !updateRebalancing(loads, aNow) ||
      awaitsPlannedKeyMoves(aState, aNow)) {
    return moves;
  }
  CellState planned = aState;
  InFlightHeadroom headroomLeft = headroom(aState);
  const std::size_t maxMoves =
    std::min(mOptions.mMaxMovesPerPlan, moveBudget(aNow));
  while (moves.size() < maxMoves) {
    const std::span<MemberLoad> overloaded = sortAndTakeOverloaded(loads);
    MemberLoad& to = loads.back();
    const auto from =
      std::ranges::find_if(overloaded, [&](const MemberLoad& aFrom) {
        return bestShard(planned, aFrom, to, aNow).has_value();
      });
    if (from == overloaded.end()) {
      break;
    }
    const Shard shard = *bestShard(planned, *from, to, aNow);
    if (!headroomLeft.tryReserve(to.mMember, inFlightAt(shard, to.mMember))) {
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

#include "radishroad/policy/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace radishroad {

namespace {

constexpr std::int64_t kGroupMillis = 1000;
/// Seconds that are kept. Rollouts last longer than this only with little
/// traffic, where the last seconds suffice as well.
constexpr std::int64_t kKeptSeconds = 120;
constexpr std::int64_t kRateSeconds = 3;
/// Standard deviations beyond the expected count. The test is repeated a few
/// times per second and route, so a usual threshold of 2 or 3 would fail good
/// versions.
constexpr double kMinDeviations = 4;
/// Upstreams of one service differ up to threefold in speed, and up to twice
/// from the median.
constexpr double kSlowFactor = 3;
constexpr double kMinFailures = 4;
constexpr double kMinFailureShare = 0.02;
constexpr double kMinSlow = 8;
/// An upstream is slow for a fifth of the time at most, in bursts that may hit
/// the few new ones more often than the old ones.
constexpr double kMinSlowShare = 0.1;
/// Old requests that a median needs.
constexpr double kMinForMedian = 5;

using Times = std::array<double, kRolloutTimeBuckets>;

double
sum(const Times& aTimes)
{
  double total = 0;
  for (const double each : aTimes) {
    total += each;
  }
  return total;
}

/// The median on the scale of bucket numbers: n + 1 is the upper bound of
/// bucket n. Values within a bucket are taken as evenly spread on that scale.
double
medianBucket(const Times& aTimes)
{
  double left = sum(aTimes) / 2;
  for (std::size_t n = 0; n < aTimes.size(); ++n) {
    if (aTimes[n] > 0 && left <= aTimes[n]) {
      return static_cast<double>(n) + left / aTimes[n];
    }
    left -= aTimes[n];
  }
  return static_cast<double>(aTimes.size());
}

double
countAbove(const Times& aTimes, double aBucket)
{
  double above = 0;
  for (std::size_t n = 0; n < aTimes.size(); ++n) {
    const double upper = static_cast<double>(n) + 1;
    above += aTimes[n] * std::clamp(upper - aBucket, 0.0, 1.0);
  }
  return above;
}

}

void
RolloutEvidence::Excess::add(double aOldHits,
                             double aOld,
                             double aNewHits,
                             double aNew)
{
  const double total = aOld + aNew;
  if (aOld <= 0 || aNew <= 0 || total <= 1) {
    return;
  }
  const double hits = aOldHits + aNewHits;
  mCount += aNewHits - aNew * hits / total;
  mVariance +=
    aNew * aOld * hits * (total - hits) / (total * total * (total - 1));
  mRequests += aNew;
}

void
RolloutEvidence::Excess::add(const Excess& aOther)
{
  mCount += aOther.mCount;
  mVariance += aOther.mVariance;
  mRequests += aOther.mRequests;
}

bool
RolloutEvidence::Excess::isSignificant(double aMinCount, double aMinShare) const
{
  return mCount >= aMinCount && mCount >= aMinShare * mRequests &&
         mCount >= kMinDeviations * std::sqrt(mVariance);
}

void
RolloutEvidence::addFailures(const Group& aGroup, Excess& aExcess)
{
  aExcess.add(aGroup.mOld.mFailures,
              aGroup.mOld.mRequests,
              aGroup.mNew.mFailures,
              aGroup.mNew.mRequests);
}

void
RolloutEvidence::addSlow(const Group& aGroup, Excess& aExcess)
{
  const double oldRuns = sum(aGroup.mOld.mTimes);
  if (oldRuns < kMinForMedian) {
    return;
  }
  const double limit =
    medianBucket(aGroup.mOld.mTimes) + std::log2(kSlowFactor);
  aExcess.add(countAbove(aGroup.mOld.mTimes, limit),
              oldRuns,
              countAbove(aGroup.mNew.mTimes, limit),
              sum(aGroup.mNew.mTimes));
}

void
RolloutEvidence::add(std::span<const RolloutOutcomes> aOutcomes, Millis aNow)
{
  const std::int64_t second = aNow.mCount / kGroupMillis;
  for (const RolloutOutcomes& each : aOutcomes) {
    if (each.mRequests == 0) {
      continue;
    }
    Group& group = mGroups[{ each.mKind, second }];
    Counts& counts = each.mIsNew ? group.mNew : group.mOld;
    counts.mRequests += each.mRequests;
    counts.mFailures += each.mFailures;
    for (std::size_t n = 0; n < kRolloutTimeBuckets; ++n) {
      counts.mTimes[n] += each.mTimes[n];
    }
    mBySecond[second] += each.mRequests;
    mRequests += each.mRequests;
    if (each.mIsNew) {
      mNewRequests += each.mRequests;
      mNewFailures += each.mFailures;
    }
  }
  const std::int64_t oldest = second - kKeptSeconds;
  std::erase_if(mGroups, [oldest](const auto& aEntry) {
    return aEntry.first.second < oldest;
  });
  std::erase_if(mBySecond,
                [oldest](const auto& aEntry) { return aEntry.first < oldest; });
}

double
RolloutEvidence::rate(Millis aNow) const
{
  // The current second is not over, and its reports have not all arrived.
  const std::int64_t end = aNow.mCount / kGroupMillis;
  std::uint64_t count = 0;
  std::int64_t first = end;
  for (auto it = mBySecond.lower_bound(end - kRateSeconds);
       it != mBySecond.end() && it->first < end;
       ++it) {
    first = std::min(first, it->first);
    count += it->second;
  }
  return first == end
           ? 0
           : static_cast<double>(count) / static_cast<double>(end - first);
}

bool
RolloutEvidence::isWorse(GroupFn aFn, double aMinCount, double aMinShare) const
{
  Excess all;
  Excess recent;
  std::map<std::uint32_t, Excess> byKind;
  std::map<std::uint32_t, Excess> recentByKind;
  const std::int64_t recentFrom =
    mBySecond.empty() ? 0 : mBySecond.rbegin()->first - kRateSeconds;
  for (const auto& [id, group] : mGroups) {
    Excess excess;
    aFn(group, excess);
    all.add(excess);
    byKind[id.first].add(excess);
    // What came before would hide a version that turns bad late.
    if (id.second >= recentFrom) {
      recent.add(excess);
      recentByKind[id.first].add(excess);
    }
  }
  const auto isSignificant = [=](const Excess& aExcess) {
    return aExcess.isSignificant(aMinCount, aMinShare);
  };
  const auto isKindSignificant = [&](const auto& aEntry) {
    return isSignificant(aEntry.second);
  };
  return isSignificant(all) || isSignificant(recent) ||
         std::ranges::any_of(byKind, isKindSignificant) ||
         std::ranges::any_of(recentByKind, isKindSignificant);
}

bool
RolloutEvidence::hasMoreFailures() const
{
  return isWorse(&addFailures, kMinFailures, kMinFailureShare);
}

bool
RolloutEvidence::hasMoreSlowResponses() const
{
  return isWorse(&addSlow, kMinSlow, kMinSlowShare);
}

}

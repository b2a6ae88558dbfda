#include "radishroad/policy/work_order.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Of the time up to the objective, how long a request may wait to start if it
/// would miss the objective anyway: an answer that late is worth little, and
/// those behind it would be late too.
constexpr double kLateStretch = 2.0;
/// The least and longest pause that a refused caller is asked for.
constexpr Millis kLeastRetryAfter{ 100 };
constexpr Millis kLongestRetryAfter{ 1000 };

/// Part of the time without an owner over which its callers come back: what
/// came meanwhile is then added to the usual load of twice that part.
constexpr std::int64_t kReturnPart = 4;
/// Steps of the spread, so that near draws do not fall together.
constexpr std::uint64_t kReturnSteps = 64;
/// How much later each rank comes back, up to kMostRanks of them.
constexpr Millis kReturnRankStep{ 50 };
constexpr std::uint8_t kMostReturnRanks = 4;

struct Ranked
{
  std::size_t mIndex = 0;
  bool mLate = false;
  Millis mUrgency;
};

/// Starts a millisecond that the upstream makes.
double
startRate(const UpstreamPace& aPace)
{
  const double run = std::max(1.0, aPace.mRunMs);
  const double rate = std::max(1U, aPace.mSlots) / run;
  return aPace.mColdPerSecond > 0
           ? std::min(rate, aPace.mColdPerSecond / kMillisPerSecond)
           : rate;
}

/// Expected time of the work's run.
Millis
runTime(const WaitingWork& aWork, const UpstreamPace& aPace)
{
  const double ms = aWork.mRunMs > 0 ? aWork.mRunMs : aPace.mRunMs;
  return { static_cast<std::int64_t>(ms) };
}

Ranked
rankOf(const WaitingWork& aWork,
       std::size_t aIndex,
       const UpstreamPace& aPace,
       Millis aNow)
{
  const Millis run = runTime(aWork, aPace);
  Ranked ranked;
  ranked.mIndex = aIndex;
  ranked.mLate = aNow + run > aWork.mObjectiveAt;
  const Millis due = ranked.mLate ? aWork.mDeadline : aWork.mObjectiveAt;
  ranked.mUrgency = due + kRankLead * aWork.mRank;
  return ranked;
}

/// Latest useful start. A request that has not waited yet is always worth a
/// try if there is room at once.
Millis
latestStart(const WaitingWork& aWork, const UpstreamPace& aPace)
{
  const double given =
    static_cast<double>((aWork.mObjectiveAt - aWork.mQueuedAt).mCount);
  const Millis useful =
    aWork.mQueuedAt +
    Millis{ static_cast<std::int64_t>(std::max(0.0, given) * kLateStretch) };
  return std::min(useful, aWork.mDeadline - runTime(aWork, aPace));
}

}

Millis
expectedWait(const UpstreamPace& aPace, std::size_t aAhead)
{
  const double busy =
    static_cast<double>(aPace.mRunning) + static_cast<double>(aAhead);
  const double free = std::max(0.0, static_cast<double>(aPace.mSlots) - busy);
  const double over =
    free >= 1 ? 0 : busy + 1 - static_cast<double>(aPace.mSlots);
  const double cold = aPace.mColdPerSecond > 0
                        ? static_cast<double>(aAhead) / startRate(aPace)
                        : 0;
  const double wait = std::max(cold, over / startRate(aPace));
  return Millis{ static_cast<std::int64_t>(wait) };
}

Millis
waitsForKeyUntil(Millis aQueuedAt,
                 Millis aHoldUntil,
                 std::optional<Millis> aPausedAt)
{
  return aPausedAt ? std::max(aHoldUntil, *aPausedAt + (aHoldUntil - aQueuedAt))
                   : aHoldUntil;
}

Millis
returnAfter(Millis aServedIn, std::uint8_t aRank, std::uint64_t aDraw)
{
  const auto step = static_cast<std::int64_t>(aDraw % kReturnSteps);
  const Millis spread = aServedIn / kReturnPart * step / kReturnSteps;
  return aServedIn + spread +
         kReturnRankStep * std::min(aRank, kMostReturnRanks);
}

WorkPlan
planWork(std::span<const WaitingWork> aWaiting,
         const UpstreamPace& aPace,
         Millis aNow)
{
  std::vector<Ranked> ranked;
  ranked.reserve(aWaiting.size());
  for (std::size_t n = 0; n < aWaiting.size(); ++n) {
    ranked.push_back(rankOf(aWaiting[n], n, aPace, aNow));
  }
  std::ranges::stable_sort(
    ranked, [](const Ranked& aLeft, const Ranked& aRight) {
      return aLeft.mLate != aRight.mLate ? !aLeft.mLate
                                         : aLeft.mUrgency < aRight.mUrgency;
    });
  WorkPlan plan;
  for (const Ranked& each : ranked) {
    const WaitingWork& work = aWaiting[each.mIndex];
    const Millis wait = expectedWait(aPace, plan.mOrder.size());
    if (wait > Millis{} && aNow + wait > latestStart(work, aPace)) {
      const Millis pause =
        std::clamp(wait - (latestStart(work, aPace) - aNow) / 2,
                   kLeastRetryAfter,
                   kLongestRetryAfter);
      plan.mRefused.push_back({ each.mIndex, pause });
    } else {
      plan.mOrder.push_back(each.mIndex);
    }
  }
  return plan;
}

}

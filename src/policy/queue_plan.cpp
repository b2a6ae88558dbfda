#include "radishroad/policy/queue_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Of the time up to the objective, how long a request may wait to start if it
/// would miss the objective anyway: an answer that late is worth little, and
/// those behind it would be late too.
constexpr double kLateStartFactor = 2.0;
/// The least and longest pause that a refused caller is asked for.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 1000 };

/// Part of the time without an owner over which its callers come back: what
/// came meanwhile is then added to the usual load of twice that part.
constexpr std::int64_t kRetrySpreadDivisor = 4;
/// Steps of the spread, so that near draws do not fall together.
constexpr std::uint64_t kRetrySpreadSteps = 64;
/// How much later each rank comes back, up to kMostRanks of them.
constexpr Millis kRetryRankDelay{ 50 };
constexpr std::uint8_t kMaxRetryRanks = 4;

struct Candidate
{
  std::size_t mIndex = 0;
  bool mLate = false;
  Millis mSortTime;
};

/// Starts a millisecond that the upstream makes.
double
startsPerMs(const UpstreamStats& aStats)
{
  const double run = std::max(1.0, aStats.mRunMs);
  const double rate = std::max(1U, aStats.mSlots) / run;
  return aStats.mColdPerSecond > 0
           ? std::min(rate, aStats.mColdPerSecond / kMillisPerSecond)
           : rate;
}

/// Expected time of the work's run.
Millis
runTime(const QueueEntry& aEntry, const UpstreamStats& aStats)
{
  const double ms = aEntry.mRunMs > 0 ? aEntry.mRunMs : aStats.mRunMs;
  return { static_cast<std::int64_t>(ms) };
}

Candidate
makeCandidate(const QueueEntry& aEntry,
              std::size_t aIndex,
              const UpstreamStats& aStats,
              Millis aNow)
{
  const Millis run = runTime(aEntry, aStats);
  Candidate candidates;
  candidates.mIndex = aIndex;
  candidates.mLate = aNow + run > aEntry.mObjectiveAt;
  const Millis due = candidates.mLate ? aEntry.mDeadline : aEntry.mObjectiveAt;
  candidates.mSortTime = due + kRankLeadTime * aEntry.mRank;
  return candidates;
}

/// Latest useful start. A request that has not waited yet is always worth a
/// try if there is room at once.
Millis
latestStart(const QueueEntry& aEntry, const UpstreamStats& aStats)
{
  const double given =
    static_cast<double>((aEntry.mObjectiveAt - aEntry.mQueuedAt).mCount);
  const Millis useful = aEntry.mQueuedAt + Millis{
    static_cast<std::int64_t>(std::max(0.0, given) * kLateStartFactor)
  };
  return std::min(useful, aEntry.mDeadline - runTime(aEntry, aStats));
}

}

Millis
expectedWait(const UpstreamStats& aStats, std::size_t aQueuedAhead)
{
  const double busy =
    static_cast<double>(aStats.mRunning) + static_cast<double>(aQueuedAhead);
  const double free = std::max(0.0, static_cast<double>(aStats.mSlots) - busy);
  const double over =
    free >= 1 ? 0 : busy + 1 - static_cast<double>(aStats.mSlots);
  const double cold =
    aStats.mColdPerSecond > 0
      ? static_cast<double>(aQueuedAhead) / startsPerMs(aStats)
      : 0;
  const double wait = std::max(cold, over / startsPerMs(aStats));
  return Millis{ static_cast<std::int64_t>(wait) };
}

Millis
keyWaitDeadline(Millis aQueuedAt,
                Millis aHoldUntil,
                std::optional<Millis> aShardPausedAt)
{
  return aShardPausedAt
           ? std::max(aHoldUntil, *aShardPausedAt + (aHoldUntil - aQueuedAt))
           : aHoldUntil;
}

Millis
retryAfterOutage(Millis aOutageLeft, std::uint8_t aRank, std::uint64_t aDraw)
{
  const auto step = static_cast<std::int64_t>(aDraw % kRetrySpreadSteps);
  const Millis spread =
    aOutageLeft / kRetrySpreadDivisor * step / kRetrySpreadSteps;
  return aOutageLeft + spread +
         kRetryRankDelay * std::min(aRank, kMaxRetryRanks);
}

QueuePlan
planQueue(std::span<const QueueEntry> aWaiting,
          const UpstreamStats& aStats,
          Millis aNow)
{
  std::vector<Candidate> candidates;
  candidates.reserve(aWaiting.size());
  for (std::size_t n = 0; n < aWaiting.size(); ++n) {
    candidates.push_back(makeCandidate(aWaiting[n], n, aStats, aNow));
  }
  std::ranges::stable_sort(
    candidates, [](const Candidate& aLeft, const Candidate& aRight) {
      return aLeft.mLate != aRight.mLate ? !aLeft.mLate
                                         : aLeft.mSortTime < aRight.mSortTime;
    });
  QueuePlan plan;
  for (const Candidate& each : candidates) {
    const QueueEntry& work = aWaiting[each.mIndex];
    const Millis wait = expectedWait(aStats, plan.mOrder.size());
    if (wait > Millis{} && aNow + wait > latestStart(work, aStats)) {
      const Millis pause =
        std::clamp(wait - (latestStart(work, aStats) - aNow) / 2,
                   kMinRetryAfter,
                   kMaxRetryAfter);
      plan.mRefused.push_back({ each.mIndex, pause });
    } else {
      plan.mOrder.push_back(each.mIndex);
    }
  }
  return plan;
}

}

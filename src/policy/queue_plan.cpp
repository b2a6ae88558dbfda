#include "radishroad/policy/queue_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000;
/// A request that would miss its objective may start until this many times its
/// objective has passed since it was queued. A later answer is worth little and
/// would delay the requests behind it.
constexpr double kLateStartFactor = 2.0;
/// Bounds of the time after which a refused caller may retry.
constexpr Millis kMinRetryAfter{ 100 };
constexpr Millis kMaxRetryAfter{ 1000 };

/// Retries are spread over the remaining outage divided by this, because the
/// requests refused during the outage come back on top of the usual load.
constexpr std::int64_t kRetrySpreadDivisor = 4;
/// Resolution of the spread, so that similar random values give different
/// times.
constexpr std::uint64_t kRetrySpreadSteps = 64;
/// Additional delay of each rank, for at most kMaxRetryRanks ranks.
constexpr Millis kRetryRankDelay{ 50 };
constexpr std::uint8_t kMaxRetryRanks = 4;

struct Candidate
{
  std::size_t mIndex = 0;
  bool mLate = false;
  Millis mSortTime;
};

Candidate
makeCandidate(const QueueEntry& aEntry,
              std::size_t aIndex,
              const UpstreamStats& aStats,
              Millis aNow)
{
  const Millis run = runTime(aEntry, aStats);
  Candidate candidate;
  candidate.mIndex = aIndex;
  candidate.mLate = aNow + run > aEntry.mObjectiveAt;
  const Millis due = candidate.mLate ? aEntry.mDeadline : aEntry.mObjectiveAt;
  candidate.mSortTime = due + kRankLeadTime * aEntry.mPriorityRank;
  return candidate;
}

/// Latest useful start. planQueue() does not apply it to a request that can
/// start at once.
Millis
latestStart(const QueueEntry& aEntry, const UpstreamStats& aStats)
{
  const double objectiveTime =
    static_cast<double>((aEntry.mObjectiveAt - aEntry.mQueuedAt).mCount);
  const Millis useful = aEntry.mQueuedAt + Millis{
    static_cast<std::int64_t>(std::max(0.0, objectiveTime) * kLateStartFactor)
  };
  return std::min(useful, aEntry.mDeadline - runTime(aEntry, aStats));
}

QueuePlan
planByVerdicts(std::span<const RoomVerdict> aVerdicts)
{
  QueuePlan plan;
  for (std::size_t n = 0; n < aVerdicts.size(); ++n) {
    if (aVerdicts[n].mRefused) {
      plan.mRefused.push_back({ n, aVerdicts[n].mRetryAfter });
    } else {
      plan.mOrder.push_back(n);
    }
  }
  std::ranges::sort(plan.mOrder, {}, [aVerdicts](std::size_t aIndex) {
    return aVerdicts[aIndex].mPosition;
  });
  return plan;
}

}

double
maxPerSecond(const UpstreamStats& aStats)
{
  if (aStats.mColdPerSecond > 0 && aStats.mLimitPerSecond > 0) {
    return std::min(aStats.mColdPerSecond, aStats.mLimitPerSecond);
  }
  return std::max(aStats.mColdPerSecond, aStats.mLimitPerSecond);
}

double
startsPerMs(const UpstreamStats& aStats)
{
  const double run = std::max(1.0, aStats.mRunMs);
  const double rate = std::max(1U, aStats.mSlots) / run;
  const double most = maxPerSecond(aStats);
  return most > 0 ? std::min(rate, most / kMillisPerSecond) : rate;
}

Millis
runTime(const QueueEntry& aEntry, const UpstreamStats& aStats)
{
  const double ms = aEntry.mRunMs > 0 ? aEntry.mRunMs : aStats.mRunMs;
  return { static_cast<std::int64_t>(ms) };
}

Millis
expectedWait(const UpstreamStats& aStats, std::size_t aQueuedAhead)
{
  const double busy =
    static_cast<double>(aStats.mRunning) + static_cast<double>(aQueuedAhead);
  const double free = std::max(0.0, static_cast<double>(aStats.mSlots) - busy);
  const double excess =
    free >= 1 ? 0 : busy + 1 - static_cast<double>(aStats.mSlots);
  const double paced =
    maxPerSecond(aStats) > 0
      ? static_cast<double>(aQueuedAhead) / startsPerMs(aStats)
      : 0;
  const double wait = std::max(paced, excess / startsPerMs(aStats));
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
retryAfterOutage(Millis aOutageLeft, std::uint8_t aRank, std::uint64_t aRandom)
{
  const auto step = static_cast<std::int64_t>(aRandom % kRetrySpreadSteps);
  const Millis spread =
    aOutageLeft / kRetrySpreadDivisor * step / kRetrySpreadSteps;
  return aOutageLeft + spread +
         kRetryRankDelay * std::min(aRank, kMaxRetryRanks);
}

QueuePlan
planQueue(std::span<const QueueEntry> aWaiting,
          const UpstreamStats& aStats,
          Millis aNow,
          std::span<const RoomVerdict> aVerdicts)
{
  if (!aVerdicts.empty()) {
    return planByVerdicts(aVerdicts);
  }
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
  for (const Candidate& candidate : candidates) {
    const QueueEntry& entry = aWaiting[candidate.mIndex];
    const Millis wait = expectedWait(aStats, plan.mOrder.size());
    if (wait > Millis{} && aNow + wait > latestStart(entry, aStats)) {
      const Millis pause =
        std::clamp(wait - (latestStart(entry, aStats) - aNow) / 2,
                   kMinRetryAfter,
                   kMaxRetryAfter);
      plan.mRefused.push_back({ candidate.mIndex, pause });
    } else {
      plan.mOrder.push_back(candidate.mIndex);
    }
  }
  return plan;
}

}

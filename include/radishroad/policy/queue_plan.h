#ifndef RADISHROAD_POLICY_QUEUE_PLAN_H
#define RADISHROAD_POLICY_QUEUE_PLAN_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// What the order of work needs to know of a request that waits.
struct QueueEntry
{
  /// Answered by then it meets its latency objective.
  Millis mObjectiveAt;
  /// Given up then.
  Millis mDeadline;
  Millis mQueuedAt;
  /// 0 goes first.
  std::uint8_t mRank = 0;
  /// Expected time of its run; 0 for the mean of all.
  double mRunMs = 0;
};

/// What an upstream does now.
struct UpstreamStats
{
  /// Requests that it runs at once.
  std::uint32_t mSlots = 1;
  std::uint32_t mRunning = 0;
  /// Mean time of a run; 0 while none has been seen.
  double mRunMs = 0;
  /// The same without slow moments.
  double mTypicalMs = 0;
  /// How long work takes at this moment, 1 as usual.
  double mSlowness = 1;
  /// Requests a second that it bears while cold; 0 while it is warm.
  double mColdPerSecond = 0;
};

/// Which of the waiting requests to run next, and which to refuse.
///
/// Load pattern: for seconds more is asked than the upstream can run, by a
/// burst, a hot key or a slow upstream. Waiting in turn until the deadline
/// would make every answer late. Here those that can still meet their
/// objective go first, by the time left and a lead for each rank; late ones
/// take what room is left; and what cannot be answered in a useful time is
/// refused at once, while its caller can still come back. Pure.
struct QueuePlan
{
  /// Indices of the waiting requests, the next to run first.
  std::vector<std::size_t> mOrder;
  /// Indices of those to refuse, and when each may come back.
  struct Refusal
  {
    std::size_t mIndex = 0;
    Millis mRetryAfter;
  };
  std::vector<Refusal> mRefused;
};

/// Time that a rank is worth in the order.
constexpr Millis kRankLeadTime{ 80 };

QueuePlan
planQueue(std::span<const QueueEntry> aWaiting,
          const UpstreamStats& aStats,
          Millis aNow);

/// Until when a request may wait for its key to be served: aHoldUntil, as told
/// when it was queued, or as long a time from aShardPausedAt, when the key's
/// shard was paused for a hand-off.
///
/// Load pattern: an overloaded upstream hands shards to others. What waits for
/// a slot there has waited longer than any hold, and would be refused at the
/// moment of the pause, though a hand-off takes less than a hold. Pure.
Millis
keyWaitDeadline(Millis aQueuedAt,
                Millis aHoldUntil,
                std::optional<Millis> aShardPausedAt);

/// When a caller whose key is not served before aOutageLeft has passed is asked
/// to come back; aDraw differs between requests.
///
/// Load pattern: an owner is lost, and for seconds all callers of its keys are
/// refused. Told one moment, all would come back at that moment, and the next
/// owner, which has just taken over, would refuse most of them again. Here they
/// come back from that moment on, by rank, spread over a part of the time that
/// they were kept away. Pure.
Millis
retryAfterOutage(Millis aOutageLeft, std::uint8_t aRank, std::uint64_t aDraw);

/// Time until a request that comes now would start to run, with aQueuedAhead
/// others before it.
Millis
expectedWait(const UpstreamStats& aStats, std::size_t aQueuedAhead);

}

#endif

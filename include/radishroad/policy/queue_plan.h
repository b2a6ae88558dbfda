#ifndef RADISHROAD_POLICY_QUEUE_PLAN_H
#define RADISHROAD_POLICY_QUEUE_PLAN_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// A queued request as seen by planQueue().
struct QueueEntry
{
  /// The latency objective is met by an answer until then.
  Millis mObjectiveAt;
  /// The request is abandoned at this time.
  Millis mDeadline;
  Millis mQueuedAt;
  /// Priority rank; 0 is the highest.
  std::uint8_t mPriorityRank = 0;
  /// Expected run time; 0 to use the mean of all requests.
  double mRunMs = 0;
};

/// Current statistics of an upstream.
struct UpstreamStats
{
  /// Requests that it can run concurrently.
  std::uint32_t mSlots = 1;
  /// Slots that the upstream reports.
  std::uint32_t mReportedSlots = 1;
  /// Requests that it is found to run well at a time; 0 if not estimated.
  std::uint32_t mSustainedSlots = 0;
  std::uint32_t mRunning = 0;
  /// Mean run time; 0 before the first run.
  double mRunMs = 0;
  /// Mean run time with the effect of temporary slowdowns removed.
  double mTypicalMs = 0;
  /// Current run time relative to the typical one; 1 is normal.
  double mSlowness = 1;
  /// Requests a second that it can handle while cold; 0 while it is warm.
  double mColdPerSecond = 0;
  /// Requests a second that it names as its limit; 0 for no limit.
  double mLimitPerSecond = 0;
  /// Time until one more large response would be through the VM's link; 0 if
  /// that is not known.
  Millis mLargeWait;
};

/// Returns the requests a second that an upstream accepts although it has free
/// slots: the lower of its cold rate and the limit that it names; 0 if it has
/// neither.
double
maxPerSecond(const UpstreamStats& aStats);

/// Which of the queued requests to run next, and which to refuse.
///
/// Load pattern: for seconds the offered load exceeds what the upstream can
/// run, because of a burst, a hot key or a slow upstream. First come, first
/// served would make every answer late. Instead, requests that can still meet
/// their objective go first, by the time left and a lead for each rank; late
/// requests use the capacity that remains; and requests that cannot be answered
/// in a useful time are refused at once, while the caller can still retry. Does
/// no I/O and reads no clock.
struct QueuePlan
{
  /// Indices of the requests to run, the next one first.
  std::vector<std::size_t> mOrder;
  /// A request to refuse, by index, and when its caller may retry.
  struct Refusal
  {
    std::size_t mIndex = 0;
    Millis mRetryAfter;
  };
  std::vector<Refusal> mRefused;
};

/// Lead of each rank over the next in the sort order.
constexpr Millis kRankLeadTime{ 80 };

/// Decision of RoomAllocator on a queued request.
struct RoomVerdict
{
  bool mRefused = false;
  /// For refused requests: when the caller may retry.
  Millis mRetryAfter;
  /// Place in the order of those that are not refused; 0 is next.
  std::size_t mPosition = 0;
};

/// aVerdicts: one for each request of aWaiting, which replace the order and the
/// refusals by time; empty if the upstream has no RoomAllocator.
QueuePlan
planQueue(std::span<const QueueEntry> aWaiting,
          const UpstreamStats& aStats,
          Millis aNow,
          std::span<const RoomVerdict> aVerdicts = {});

/// Returns the expected run time of the request.
Millis
runTime(const QueueEntry& aEntry, const UpstreamStats& aStats);

/// Returns the requests that the upstream can start per millisecond.
double
startsPerMs(const UpstreamStats& aStats);

/// Returns until when a request may wait for its key to be served: aHoldUntil,
/// which was set when the request was queued, or, if its shard was paused for a
/// hand-off, an equally long time from aShardPausedAt, whichever is later.
///
/// Load pattern: an overloaded upstream hands shards to others. A request that
/// waits there for a slot has already waited longer than any hold, and would be
/// refused at the moment of the pause although a hand-off takes less time than
/// a hold. Does no I/O and reads no clock.
Millis
keyWaitDeadline(Millis aQueuedAt,
                Millis aHoldUntil,
                std::optional<Millis> aShardPausedAt);

/// Returns the retry delay for a caller whose key is not served before
/// aOutageLeft has passed. aRandom differs between requests.
///
/// Load pattern: an owner is lost, and all callers of its keys are refused for
/// seconds. With one common retry time all would come back at that moment, and
/// the next owner, which has just taken over, would refuse most of them again.
/// Instead the retries start at that moment, ordered by rank, and are spread
/// over a part of the remaining outage. Does no I/O and reads no clock.
Millis
retryAfterOutage(Millis aOutageLeft, std::uint8_t aRank, std::uint64_t aRandom);

/// Returns the time until a new request would start to run, with aQueuedAhead
/// requests queued before it.
Millis
expectedWait(const UpstreamStats& aStats, std::size_t aQueuedAhead);

}

#endif

#ifndef RADISHROAD_POLICY_ROOM_ALLOCATOR_H
#define RADISHROAD_POLICY_ROOM_ALLOCATOR_H

#include "radishroad/policy/queue_plan.h"
#include "radishroad/policy/return_schedule.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace radishroad {

/// A queued request as seen by RoomAllocator.
struct RoomRequest
{
  QueueEntry mEntry;
  /// Ascends in the order of arrival, and stays the same if a request returns
  /// to the queue.
  std::uint64_t mQueueId = 0;
  std::uint32_t mKind = 0;
  /// The same in each repeat of a request by its caller.
  std::uint64_t mRequestHash = 0;
  std::uint64_t mWorkspaceHash = 0;
  /// It began at a VM of another service.
  bool mIsFromOtherService = false;
};

/// Decides which requests get the room of an upstream that cannot serve all.
///
/// Load pattern: for many seconds, kinds of different rank, calls of runs at
/// other upstreams and callers that repeat at once ask an upstream for up to
/// four times what it sustains. An order by time left serves urgent kinds with
/// long runs least, lets requests wait that are refused later, and refused
/// callers return at the same time.
///
/// A request is admitted or refused once, when decide() first lists it. It is
/// admitted if its start is expected early enough for its objective, and if no
/// more urgent kind has been refused in the last seconds. Calls of active runs
/// are more urgent than new runs, since a refused call loses the run that made
/// it. A kind that is served less than a quarter of the mean goes before other
/// new runs. Admitted requests start in the order of their urgency. Refused
/// callers get return times one after the other, at the rate at which the
/// upstream starts requests. Callers that repeat earlier are admitted only if
/// the room suffices for those that return at their time, too.
///
/// State is local and may be lost. Does no I/O and reads no clock.
class RoomAllocator
{
public:
  /// Requests by rank since the start.
  struct Totals
  {
    std::uint64_t mOffered = 0;
    std::uint64_t mServed = 0;
    std::uint64_t mRefused = 0;
  };
  /// Requests of one kind and rank in the last seconds.
  struct Recent
  {
    std::uint32_t mOffered = 0;
    std::uint32_t mServed = 0;
    std::uint32_t mRefused = 0;
  };

  /// Returns a verdict for each request of the queue, in the given order.
  std::vector<RoomVerdict> decide(std::span<const RoomRequest> aWaiting,
                                  const UpstreamStats& aStats,
                                  Millis aNow);
  /// The request was passed to the upstream.
  void onStarted(const RoomRequest& aRequest, Millis aNow);
  /// Whether the request is a call of an active run: it began at another
  /// service, and its kind is requested by other services only. Requests of
  /// outer callers enter at all VMs, so their kinds come from the upstream's
  /// own service, too.
  bool isCallOfRun(const RoomRequest& aRequest) const;
  /// Counts of the last seconds of the request's kind and rank.
  Recent recent(const RoomRequest& aRequest, Millis aNow) const;
  const std::map<std::uint8_t, Totals>& totals() const { return mTotals; }

private:
  static constexpr std::size_t kBuckets = 16;
  struct Bucket
  {
    std::int64_t mNumber = 0;
    Recent mCounts;
  };
  struct KindState
  {
    std::array<Bucket, kBuckets> mBuckets;
    /// 0 for calls of active runs; otherwise it ascends with the rank.
    unsigned mUrgency = 0;
    Millis mLastOffer;
    double mRunMs = 0;
  };
  /// Where requests of a kind come from, over a longer time.
  struct Origin
  {
    double mAll = 0;
    double mOwnService = 0;
    Millis mAt;
  };
  struct Admitted
  {
    std::uint64_t mQueueId = 0;
    unsigned mUrgency = 0;
    Millis mStartInTime;
    /// Latest start with an answer before the deadline.
    Millis mLatestStart;
    double mRunMs = 0;
  };
  using Arrival = ReturnSchedule::Arrival;
  using KindKey = std::pair<std::uint32_t, std::uint32_t>;

  KindKey keyOf(const RoomRequest& aRequest) const;
  unsigned urgencyOf(const RoomRequest& aRequest) const;
  KindState& stateOf(const RoomRequest& aRequest, Millis aNow);
  static Recent sum(const KindState& aState, Millis aNow);
  static Recent& countsAt(KindState& aState, Millis aNow);
  void recordOrigin(const RoomRequest& aRequest, Millis aNow);
  /// Whether the share of the request's kind is below the floor, and whether a
  /// more urgent kind lacks room.
  struct Standing
  {
    bool mIsBelowFloor = false;
    bool mMustYield = false;
  };
  Standing standingOf(const RoomRequest& aRequest, Millis aNow) const;
  void keepOnly(std::span<const RoomRequest> aWaiting,
                const UpstreamStats& aStats);
  /// Inserts the request into mAdmitted unless it has to be refused.
  bool tryAdmit(const RoomRequest& aRequest,
                const Arrival& aArrival,
                const UpstreamStats& aStats,
                Millis aNow);
  /// Wait of a request with the first aCount of mAdmitted and aReserved others
  /// before it.
  Millis waitBehind(std::size_t aCount,
                    std::size_t aReserved,
                    const UpstreamStats& aStats) const;
  /// Share of the slots that admitted requests of more urgent kinds take.
  double loadBefore(unsigned aUrgency,
                    const UpstreamStats& aStats,
                    Millis aNow) const;
  RoomVerdict refuse(const RoomRequest& aRequest,
                     const Arrival& aArrival,
                     const UpstreamStats& aStats,
                     Millis aNow);

  std::map<KindKey, KindState> mKinds;
  std::map<std::uint32_t, Origin> mOrigins;
  ReturnSchedule mReturns;
  /// In the order of their start.
  std::vector<Admitted> mAdmitted;
  std::uint64_t mLastQueueId = 0;
  std::map<std::uint8_t, Totals> mTotals;
};

}

#endif

#ifndef RADISHROAD_POLICY_RETURN_SCHEDULE_H
#define RADISHROAD_POLICY_RETURN_SCHEDULE_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace radishroad {

/// Return times of refused callers of an upstream.
///
/// Load pattern: an overloaded upstream refuses hundreds of requests within a
/// second. With one common return time all would come back at that moment, and
/// callers that do not wait would take the room of those that do. Instead
/// callers get return times one after the other, at a part of the rate at which
/// the upstream starts requests, and earlier arrivals are recognized. Does no
/// I/O and reads no clock.
class ReturnSchedule
{
public:
  struct Caller
  {
    /// The same in each repeat of a request.
    std::uint64_t mRequestHash = 0;
    std::uint64_t mWorkspaceHash = 0;
    std::uint32_t mKind = 0;
  };
  struct Arrival
  {
    /// Its caller returned before its Retry-After.
    bool mIsRepeat = false;
    /// More requests of its workspace and kind arrive than usual, while some of
    /// their callers wait for their Retry-After. New requests may do so, too.
    bool mMayBeRepeat = false;
    /// The return time given to the caller.
    std::optional<Millis> mReturnAt;
  };
  struct Room
  {
    /// When the requests that wait now have started.
    Millis mAt;
    double mStartsPerMs = 0;
  };

  Arrival onArrival(const Caller& aCaller, Millis aNow);
  /// Returns when the refused caller shall return. One that repeated its
  /// request early keeps its time.
  Millis assignReturn(const Caller& aCaller,
                      const Arrival& aArrival,
                      unsigned aUrgency,
                      const Room& aRoom,
                      Millis aNow);
  /// Number of callers of at least this urgency whose return time is from
  /// aNow until aUntil.
  std::size_t countUntil(Millis aNow, Millis aUntil, unsigned aUrgency) const;
  /// Forgets callers that have not returned in time.
  void forgetPassed(Millis aNow);

private:
  /// Arrivals of one kind from one workspace.
  struct Arrivals
  {
    double mUsualPerMs = 0;
    Millis mFrom;
    std::uint32_t mCount = 0;
    /// The latest return time that was given to one of its callers.
    Millis mReturnUntil;
  };
  struct AssignedReturn
  {
    std::uint64_t mRequestHash = 0;
    Millis mAt;
    unsigned mUrgency = 0;
  };
  Millis nextTime(const Caller& aCaller, const Room& aRoom, Millis aNow);

  std::map<std::pair<std::uint64_t, std::uint32_t>, Arrivals> mArrivals;
  std::vector<AssignedReturn> mAssigned;
  /// The last time that was given.
  Millis mLast;
};

}

#endif

#ifndef RADISHROAD_OWNERSHIP_WITNESS_SET_MANAGER_H
#define RADISHROAD_OWNERSHIP_WITNESS_SET_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/state/cell_state.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace radishroad {

constexpr std::size_t kTargetWitnessCount = 3;
/// A witness without an answer for this long is replaced. Covers two unanswered
/// renewals, and is short enough that the change is read back before the lease
/// expires.
constexpr Millis kWitnessTimeout{ 600 };
/// While more than half of the set answers, a lost witness is replaced only
/// after kRewitnessDelay plus a part of kRewitnessJitter derived from the
/// daemon's incarnation. An expulsion is thus appended first, and the loss of
/// an availability zone, after which a quarter of all daemons replace a
/// witness, does not overload the log.
constexpr Millis kRewitnessDelay{ 2000 };
constexpr Millis kRewitnessJitter{ 4000 };
/// Minimum interval between two changes of a daemon's witness set.
constexpr Millis kMinRewitnessInterval{ 2000 };
/// Minimum interval while the lease is not held, so that a daemon that has lost
/// its witnesses serves again soon.
constexpr Millis kUrgentRewitnessInterval{ 500 };
/// Interval after which the append of a change in doubt is repeated.
constexpr Millis kInDoubtRetryInterval{ 500 };
/// Time for which a member that did not answer as a prospective witness is
/// excluded.
constexpr Millis kCandidateExclusionTime{ 5000 };
/// A log that has not answered for this long counts as unavailable.
constexpr Millis kLogReadTimeout{ 1000 };

/// Decides when a daemon replaces its witnesses. Performs no I/O.
///
/// Witnesses that left or were expelled are always replaced. Unresponsive
/// witnesses are replaced only while the lease is held and at least one witness
/// answers: a daemon that none of them answers is itself disconnected or was
/// paused, and a change would only invalidate the expulsion that is due. While
/// more than half of the set answers, replacement is not urgent: the lease is
/// held, and the daemon can be expelled. New witnesses must have answered
/// before the change is appended. Nothing is appended while the log is
/// unavailable.
class WitnessSetManager
{
public:
  /// Whether a member is known not to answer.
  using SuspectFn = std::function<bool(Incarnation)>;

  explicit WitnessSetManager(Incarnation aSelf,
                             std::size_t aTargetCount = kTargetWitnessCount);

  /// Call this often. Returns the record to append now, if any. The change has
  /// then been begun in aHolder, and the caller must apply the holder's new
  /// lease state before it sends the record. aLogAnsweredAt is the time at
  /// which the log was last read.
  std::optional<wire::RewitnessT> step(const CellState& aState,
                                       LeaseHolder& aHolder,
                                       const SuspectFn& aIsSuspect,
                                       Millis aLogAnsweredAt,
                                       Millis aNow);

private:
  std::optional<wire::RewitnessT> retryChangeInDoubt(const Member& aMember,
                                                     const LeaseHolder& aHolder,
                                                     Millis aNow);
  std::vector<Incarnation> targetWitnesses(const CellState& aState,
                                           const Member& aMember,
                                           const LeaseHolder& aHolder,
                                           const SuspectFn& aIsSuspect,
                                           Millis aNow) const;

  void updateLossTimer(const CellState& aState,
                       const Member& aMember,
                       const LeaseHolder& aHolder,
                       Millis aNow);
  bool mayDeferReplacement(Millis aNow) const;
  void excludeUnresponsiveCandidates(const LeaseHolder& aHolder, Millis aNow);

  Incarnation mSelf;
  std::size_t mTargetCount;
  std::optional<Millis> mLastAppend;
  Millis mPreparedAt;
  /// Time since when witnesses have been lost while a majority of the set still
  /// answers.
  std::optional<Millis> mNonUrgentLossSince;
  std::map<Incarnation, Millis> mExcludedUntil;
};

}

#endif

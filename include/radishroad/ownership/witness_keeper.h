#ifndef RADISHROAD_OWNERSHIP_WITNESS_KEEPER_H
#define RADISHROAD_OWNERSHIP_WITNESS_KEEPER_H

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

constexpr std::size_t kWantedWitnesses = 3;
/// Silence after which a witness is replaced: two renewals unanswered, and
/// early enough that the change is read back before the lease lapses.
constexpr Millis kWitnessSilence{ 600 };
/// While more than half of the set answers, a lost witness is replaced after
/// this time and a part of the spread drawn by the daemon's incarnation: an
/// expulsion goes first, and the loss of an availability zone, after which a
/// quarter of all daemons replace a witness, does not crowd the log.
constexpr Millis kRewitnessDelay{ 2000 };
constexpr Millis kRewitnessSpread{ 4000 };
/// Least time between two changes of a daemon's witness set.
constexpr Millis kRewitnessPause{ 2000 };
/// The same while the lease is not held, so that a daemon whose witnesses are
/// gone serves again soon.
constexpr Millis kUrgentRewitnessPause{ 500 };
/// Time after which the append of a change still in doubt is repeated.
constexpr Millis kDoubtRetry{ 500 };
/// How long a member that did not answer as a future witness is passed over.
constexpr Millis kAvoidFor{ 5000 };
/// A log that did not answer for this long counts as out.
constexpr Millis kLogSilence{ 1000 };

/// Decides when a daemon replaces its witnesses. Pure.
///
/// Witnesses that left, or were expelled, are replaced always. Silent ones are
/// replaced only while the lease is held and at least one witness answers:
/// a daemon that hears none is itself cut off or was paused, and a change
/// would only void the expulsion that is due. While more than half of the set
/// answers there is no hurry: the lease is held, and the daemon can be
/// expelled. New witnesses must have answered before the change is appended.
/// Nothing is appended while the log is out.
class WitnessKeeper
{
public:
  /// Whether a member is known not to answer.
  using SuspectFn = std::function<bool(Incarnation)>;

  explicit WitnessKeeper(Incarnation aSelf,
                         std::size_t aWanted = kWantedWitnesses);

  /// To be called often: the record to append now, if any. The holder's change
  /// has been begun then, and what the holder now says of the lease has to be
  /// in force before the record is sent. aLogAnsweredAt is when the log was
  /// last read.
  std::optional<wire::RewitnessT> step(const CellState& aState,
                                       LeaseHolder& aHolder,
                                       const SuspectFn& aIsSuspect,
                                       Millis aLogAnsweredAt,
                                       Millis aNow);

private:
  std::optional<wire::RewitnessT> retryInDoubt(const Member& aMember,
                                               const LeaseHolder& aHolder,
                                               Millis aNow);
  std::vector<Incarnation> wantedSet(const CellState& aState,
                                     const Member& aMember,
                                     const LeaseHolder& aHolder,
                                     const SuspectFn& aIsSuspect,
                                     Millis aNow) const;

  void noteLoss(const CellState& aState,
                const Member& aMember,
                const LeaseHolder& aHolder,
                Millis aNow);
  bool mayWait(Millis aNow) const;
  void avoidUnanswered(const LeaseHolder& aHolder, Millis aNow);

  Incarnation mSelf;
  std::size_t mWanted;
  std::optional<Millis> mLastAppend;
  Millis mPreparedAt;
  /// Since when witnesses were lost, but not so many that it presses.
  std::optional<Millis> mSpareLostSince;
  std::map<Incarnation, Millis> mAvoided;
};

}

#endif

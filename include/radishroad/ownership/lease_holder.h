#ifndef RADISHROAD_OWNERSHIP_LEASE_HOLDER_H
#define RADISHROAD_OWNERSHIP_LEASE_HOLDER_H

#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// Time for which the holder may rely on a promise, counted from the send of
/// the renewal that it answers.
constexpr Millis kLeaseTtl{ 1000 };
constexpr Millis kRenewInterval{ 250 };
/// A promise that arrives later than this after the send of its renewal does
/// not count. A witness that knows which promise arrived last can therefore
/// determine which later ones will never count. Shorter than two renewal
/// intervals.
constexpr Millis kMaxPromiseAge{ 450 };

/// The holder side of a daemon's lease. Performs no I/O: the caller sends what
/// renewals() returns and passes in promises and the (monotonic) time.
///
/// The lease is held while at least half of the witness set, rounded up, has
/// unexpired promises. An expulsion takes the consent of more than half of the
/// set, so the two quorums always share a witness. For sets of odd size half
/// rounded up is a majority. While a change of the set is in doubt, the quorum
/// is needed in both the old and the new set, since the append may have taken
/// effect without the holder's knowledge. With an empty set the lease is always
/// held, because nobody can consent to an expulsion.
class LeaseHolder
{
public:
  struct Renewal
  {
    Incarnation mWitness = 0;
    std::uint32_t mVersion = 0;
    /// Send time of the newest renewal of this version that this witness has
    /// answered; 0 if there is none. No promise for a later renewal counts.
    Millis mAckedSentAt;
  };

  explicit LeaseHolder(Incarnation aSelf);

  /// Adopts the witness set of the log as last folded. Ends a change in doubt
  /// if aVersion is later than the version that the change is based on.
  void adopt(std::uint32_t aVersion, std::span<const Incarnation> aWitnesses);
  /// Collects promises of a set for the next version before the change is
  /// appended, so that the lease does not expire while the change is in doubt.
  /// An empty set ends the preparation.
  void prepareChange(std::span<const Incarnation> aNewWitnesses);
  std::span<const Incarnation> prepared() const;
  /// Whether the prepared set would hold the lease and each of its new members
  /// has answered.
  bool preparedSetHoldsLease(Millis aNow) const;
  /// New members of the prepared set that have not answered.
  std::vector<Incarnation> unresponsiveNewWitnesses(Millis aNow) const;
  /// Call before the Rewitness record is sent for the first time.
  void beginChange(std::span<const Incarnation> aNewWitnesses);
  /// Call if the Rewitness record was certainly not appended and never will be.
  void abandonChange();
  bool changeInDoubt() const;
  std::span<const Incarnation> proposed() const;

  /// aSentAt is the send time of the renewal that this promise answers. A
  /// promise older than kMaxPromiseAge is ignored.
  void onPromise(Incarnation aWitness,
                 std::uint32_t aVersion,
                 Millis aSentAt,
                 Millis aNow);
  /// The witness answered but withheld its promise.
  void onWithheld(Incarnation aWitness, std::uint32_t aVersion, Millis aSentAt);
  /// Renewals to send now; empty until kRenewInterval has passed.
  std::vector<Renewal> renewals(Millis aNow);
  /// Time until which the lease is held; not later than aNow if it is not held.
  Millis heldUntil(Millis aNow) const;
  bool holds(Millis aNow) const;
  /// Witnesses of the current set that have given no promise for longer than
  /// aTimeout.
  std::vector<Incarnation> unresponsiveWitnesses(Millis aNow,
                                                 Millis aTimeout) const;

private:
  struct WitnessSet
  {
    std::uint32_t mVersion = 0;
    std::vector<Incarnation> mWitnesses;
    std::map<Incarnation, Millis> mPromisedUntil;
    /// Send time of the newest renewal that each witness answered without a
    /// promise.
    std::map<Incarnation, Millis> mWithheldSentAt;
  };
  static WitnessSet makeSet(std::uint32_t aVersion,
                            std::span<const Incarnation> aWitnesses);
  static void mergePromises(WitnessSet& aTo, const WitnessSet& aFrom);
  static Millis quorumHeldUntil(const WitnessSet& aSet);
  static Millis ackedSentAt(const WitnessSet& aSet, Incarnation aWitness);
  WitnessSet* findSet(std::uint32_t aVersion);

  Incarnation mSelf;
  bool mAdopted = false;
  WitnessSet mCurrent;
  std::optional<WitnessSet> mPrepared;
  std::optional<WitnessSet> mProposed;
  std::optional<Millis> mLastRenewal;
  std::optional<Millis> mAdoptedAt;
};

}

#endif

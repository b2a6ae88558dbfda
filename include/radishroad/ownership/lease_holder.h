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

/// How long a promise binds a witness, from the send of its renewal.
constexpr Millis kLeaseTtl{ 1000 };
constexpr Millis kRenewInterval{ 250 };
/// A promise that arrives later than this after the send of its renewal does
/// not count. A witness that knows which promise arrived last can therefore
/// tell which later ones never will. Shorter than two renewals.
constexpr Millis kPromiseLateAfter{ 450 };

/// The holder's side of a daemon's lease. Pure: the caller sends what
/// renewals() says and passes in promises and the time (monotonic).
///
/// The lease is held while promises of half of the witness set, rounded up,
/// are unexpired: an expulsion takes the consents of more than half, so the
/// two always meet in a witness. For odd sets this is a majority. While a
/// change of the set is in doubt, that many of the old set and of the new are
/// both needed, since the append may have taken effect unknown to the holder.
/// An empty set is held always: nobody can consent to an expulsion.
class LeaseHolder
{
public:
  struct Renewal
  {
    Incarnation mWitness = 0;
    std::uint32_t mVersion = 0;
    /// Send time of the newest renewal of this version that this witness
    /// answered; 0 if there is none. No promise for a later one counts.
    Millis mHeardSentAt;
  };

  explicit LeaseHolder(Incarnation aSelf);

  /// The set that the log holds, as last folded. Ends a change in doubt if
  /// aVersion is past the one it builds on.
  void adopt(std::uint32_t aVersion, std::span<const Incarnation> aWitnesses);
  /// Collects promises of a set for the next version ahead of a change, so
  /// that the lease does not lapse while the change is in doubt. An empty set
  /// ends this.
  void prepareChange(std::span<const Incarnation> aNewWitnesses);
  std::span<const Incarnation> prepared() const;
  /// Whether the prepared set would hold the lease, and each of its members
  /// that is new has answered.
  bool preparedHolds(Millis aNow) const;
  /// Members of the prepared set that are new and have not answered.
  std::vector<Incarnation> unansweredPrepared(Millis aNow) const;
  /// To be called before the Rewitness record is first sent.
  void beginChange(std::span<const Incarnation> aNewWitnesses);
  /// The Rewitness record was certainly never appended, nor will be.
  void abandonChange();
  bool changeInDoubt() const;
  std::span<const Incarnation> proposed() const;

  /// aSentAt is the time at which the renewal now answered was sent. A promise
  /// older than kPromiseLateAfter is ignored.
  void onPromise(Incarnation aWitness,
                 std::uint32_t aVersion,
                 Millis aSentAt,
                 Millis aNow);
  /// The witness answered, but withheld its promise.
  void onWithheld(Incarnation aWitness, std::uint32_t aVersion, Millis aSentAt);
  /// Renewals to send now; empty until the interval has passed.
  std::vector<Renewal> renewals(Millis aNow);
  /// Time up to which the lease is held; not later than aNow if it is not.
  Millis heldUntil(Millis aNow) const;
  bool holds(Millis aNow) const;
  /// Witnesses of the current set without a promise for the given time.
  std::vector<Incarnation> silentWitnesses(Millis aNow, Millis aFor) const;

private:
  struct Set
  {
    std::uint32_t mVersion = 0;
    std::vector<Incarnation> mWitnesses;
    std::map<Incarnation, Millis> mPromisedUntil;
    /// Send times of the newest renewals answered without a promise.
    std::map<Incarnation, Millis> mWithheldSentAt;
  };
  static Set makeSet(std::uint32_t aVersion,
                     std::span<const Incarnation> aWitnesses);
  static void takePromises(Set& aTo, const Set& aFrom);
  static Millis majorityUntil(const Set& aSet);
  static Millis heardSentAt(const Set& aSet, Incarnation aWitness);
  Set* findSet(std::uint32_t aVersion);

  Incarnation mSelf;
  bool mAdopted = false;
  Set mCurrent;
  std::optional<Set> mPrepared;
  std::optional<Set> mProposed;
  std::optional<Millis> mLastRenewal;
  std::optional<Millis> mAdoptedAt;
};

}

#endif

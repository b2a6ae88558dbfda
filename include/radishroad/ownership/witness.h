#ifndef RADISHROAD_OWNERSHIP_WITNESS_H
#define RADISHROAD_OWNERSHIP_WITNESS_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/state/cell_state.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace radishroad {

/// Added by a witness to the TTL before it treats a promise as expired. Bounds
/// the drift between the clocks of two machines over one TTL.
constexpr Millis kClockDriftMargin{ 50 };

/// Identifies a lease: a daemon's incarnation and the version of its witness
/// set.
struct LeaseId
{
  Incarnation mIncarnation = 0;
  std::uint32_t mVersion = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>
  auto operator<=>(const LeaseId&) const = default;
};

/// A renewal as received by a witness. Times are by the holder's clock.
struct ReceivedRenewal
{
  LeaseId mLeaseId;
  Millis mSentAt;
  /// Send time of the newest renewal whose answer from this witness has arrived
  /// at the holder, or of a later one.
  Millis mAckedSentAt;
};

/// Answer of a witness to a renewal.
enum class RenewalAnswer
{
  /// No answer: the witness has consented to the daemon's expulsion, or the
  /// daemon is not an active member.
  None,
  Promised,
  /// No promise, but the holder shall acknowledge the arrival of this answer.
  Withheld,
};

/// The witness side of leases. Keeps volatile state only, which is lost with
/// the process. A consent to an expulsion is final: no promise for that lease
/// follows it, and the consent is given only after the last promise that the
/// holder may rely on has expired by this witness's clock.
///
/// A renewal names the promise that arrived last. Later promises that answer
/// renewals older than kMaxPromiseAge will never count and no longer bind the
/// witness. A holder that sends but does not receive is therefore expelled as
/// soon as one that is silent.
class Witness
{
public:
  /// Drops the promises that, according to the renewal, can no longer count for
  /// the holder.
  void onAcknowledgement(const ReceivedRenewal& aRenewal);
  /// Returns true if the witness promises until aNow + TTL, and false if it
  /// must refuse because it has consented to the expulsion.
  bool onRenew(const ReceivedRenewal& aRenewal, Millis aNow);
  /// Call when the log names this witness for a lease. Binds the witness for
  /// one TTL, as a renewal would, so that a daemon that terminates before its
  /// first renewal is detected.
  void expectRenewal(LeaseId aLeaseId, Millis aNow);

  struct ConsentAnswer
  {
    bool mGranted = false;
    /// Time until the last promise expires.
    Millis mWait;
  };
  ConsentAnswer onConsentAsk(LeaseId aLeaseId, Millis aNow);

  /// Leases whose promises have expired and that were not consented to yet.
  std::vector<LeaseId> lapsed(Millis aNow) const;
  /// Leases whose promises have expired or that were consented to, in ascending
  /// order.
  std::vector<LeaseId> suspects(Millis aNow) const;
  /// Removes a lease whose witness set the log has replaced or whose member is
  /// gone. The consents that expelled a member are removed with it, so the
  /// caller must then refuse renewals of that member.
  void remove(LeaseId aLeaseId);
  void removeIf(const std::function<bool(LeaseId)>& aIsStale);
  std::size_t size() const;

private:
  /// A promise that the holder has not acknowledged.
  struct OutstandingPromise
  {
    Millis mSentAt;
    Millis mBoundUntil;
  };
  struct Entry
  {
    Millis boundUntil() const;

    /// Set by the log and by acknowledged promises.
    Millis mBoundUntil;
    bool mConsented = false;
    std::vector<OutstandingPromise> mOutstanding;
  };
  std::map<LeaseId, Entry> mEntries;
};

}

#endif

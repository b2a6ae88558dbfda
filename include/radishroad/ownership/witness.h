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

/// What a witness adds to the TTL before it takes a promise as lapsed: bounds
/// the drift between two machines' clocks over one TTL.
constexpr Millis kDriftMargin{ 50 };

/// Names a lease: a daemon's incarnation and a version of its witness set.
struct LeaseLabel
{
  Incarnation mIncarnation = 0;
  std::uint32_t mVersion = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>
  auto operator<=>(const LeaseLabel&) const = default;
};

/// A renewal as a witness receives it. Times are of the holder's clock.
struct ReceivedRenewal
{
  LeaseLabel mLabel;
  Millis mSentAt;
  /// Send time of the newest renewal whose answer from this witness arrived,
  /// or of a later one.
  Millis mHeardSentAt;
};

/// What a witness answers to a renewal.
enum class RenewalAnswer
{
  /// Nothing: it has consented to the daemon's expulsion, or knows of it.
  None,
  Promised,
  /// No promise, but the holder is to say whether this arrived.
  Withheld,
};

/// The witness's side: soft state only, lost with the process. A consent to
/// an expulsion is for good: no promise for that label follows it, and none
/// is given before the last promise that its holder may count on has lapsed by
/// this witness's clock.
///
/// A renewal names the promise that arrived last. Those given after that one
/// and answering renewals older than kPromiseLateAfter will never count, so
/// they bind no longer: a holder that sends but hears nothing is lost as soon
/// as one that is silent.
class Witness
{
public:
  /// Drops the promises that a renewal shows to be of no use to its holder.
  void onFeedback(const ReceivedRenewal& aRenewal);
  /// True: promise until aNow + TTL. False: consent has been given, refuse.
  bool onRenew(const ReceivedRenewal& aRenewal, Millis aNow);
  /// The log names this witness for a label. Binds it for one TTL as a renewal
  /// would, so that a daemon that dies before its first renewal is noticed.
  void expect(LeaseLabel aLabel, Millis aNow);

  struct ConsentAnswer
  {
    bool mGranted = false;
    /// Time until the last promise lapses.
    Millis mWait;
  };
  ConsentAnswer onConsentAsk(LeaseLabel aLabel, Millis aNow);

  /// Labels whose promise has lapsed and that were not consented to yet.
  std::vector<LeaseLabel> lapsed(Millis aNow) const;
  /// Labels whose promise has lapsed or that were consented to, in order.
  std::vector<LeaseLabel> suspects(Millis aNow) const;
  /// Drops a label whose set the log has replaced, or whose member is gone. The
  /// caller must then refuse renewals of a member that is gone: the consents
  /// that expelled it are forgotten with it.
  void forget(LeaseLabel aLabel);
  void forgetIf(const std::function<bool(LeaseLabel)>& aIsStale);
  std::size_t size() const;

private:
  /// A promise that its holder has not named as arrived.
  struct Outstanding
  {
    Millis mSentAt;
    Millis mBoundUntil;
  };
  struct Entry
  {
    Millis boundUntil() const;

    /// By the log, or by promises that arrived.
    Millis mBoundUntil;
    bool mConsented = false;
    std::vector<Outstanding> mOutstanding;
  };
  std::map<LeaseLabel, Entry> mEntries;
};

}

#endif

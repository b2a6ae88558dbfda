#ifndef RADISHROAD_OWNERSHIP_GRANT_MANAGER_H
#define RADISHROAD_OWNERSHIP_GRANT_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/state/cell_state.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// How long an upstream serves keys after a grant. After the loss of an owner
/// its keys stay unavailable for this time. With grants sent as calls, every
/// renewal takes one call for each run of keys, so a short time costs more
/// calls.
constexpr Millis kGrantHoldTime{ 3000 };

/// A shard that this daemon may grant to its upstream.
struct GrantableShard
{
  Shard mShard = 0;
  Epoch mEpoch = 0;
};

/// All shards that this daemon may grant to its upstream.
struct GrantableShards
{
  KeyLayout mLayout;
  std::vector<GrantableShard> mShards;
  /// No grant of them may be sent from then on.
  Millis mValidUntil = Millis::max();
};

/// A key range that an upstream reports as held, or for which it is still
/// processing requests.
struct ReportedHold
{
  KeyRange mKeys;
  Epoch mEpoch = 0;
};

/// A key range that an upstream reports as released.
struct ReportedRelease
{
  KeyRange mKeys;
  /// Handover token for the next holder.
  std::string mHandover;
};

/// A grant to the upstream: it may serve these keys for mHoldTime.
struct KeyGrant
{
  KeyRange mKeys;
  Epoch mEpoch = 0;
  Millis mHoldTime;
  /// Handover token of the previous holder; empty if none was received.
  std::string mHandover;
};

/// Grants the keys of this daemon's shards to its own upstream and renews the
/// grants. The upstream serves the keys for the hold time, counted from the
/// arrival of each grant. Performs no I/O.
///
/// Grants are sent either as calls (dueGrants, onGranted and related functions)
/// or as rows of the answer to each report of the upstream (onReportedHolds,
/// answerReport). An answer lists everything that the upstream shall hold; the
/// upstream releases all other keys and confirms that in its next report.
///
/// An upstream's clock may run slow, and a grant without an answer may still
/// arrive late. The manager therefore tracks two times: until when a key is
/// certainly held, and until when it may be held in the worst case.
class GrantManager
{
public:
  /// An upstream's clock may run slow by 1 / kClockSlowdownDivisor (the
  /// platform states 2%).
  static constexpr std::int64_t kClockSlowdownDivisor = 50;
  /// Upper bound for the delivery of a grant to the upstream on the same
  /// machine.
  static constexpr Millis kDeliveryTime{ 200 };
  /// Allowance for clocks with a resolution of whole milliseconds and for
  /// threads that wake up late.
  static constexpr Millis kTimingMargin{ 100 };

  /// Longest time for which keys may still be held after granting has ended.
  static Millis longestHold(Millis aHoldTime);

  void setHoldTime(Millis aHoldTime) { mHoldTime = aHoldTime; }
  /// Whether grants are sent as rows of answers to reports instead of as calls.
  void setGrantsInReportAnswers(bool aInReportAnswers)
  {
    mGrantsInReportAnswers = aInReportAnswers;
  }
  /// A change of the layout discards what is known of earlier grants; all runs
  /// may then be held as long as any run of the old layout.
  void setLayout(KeyLayout aLayout);
  const KeyLayout& layout() const { return mLayout; }
  /// Call if earlier grants are unknown, for instance after a start beside a
  /// running upstream: any key may be held for one hold time from now.
  void assumeHeld(Millis aNow);
  /// Shards to grant from now on; grants of all other shards are not renewed.
  void setGrantableShards(std::span<const GrantableShard> aShards);
  /// Handover tokens for the runs of a shard, one for each run. They are sent
  /// with the first grant of each run at an epoch above aEpoch.
  void onHandover(Shard aShard,
                  Epoch aEpoch,
                  std::span<const std::string> aTokens,
                  Millis aNow);
  /// Grants to send now, at most aMax. Each is in flight until onGranted,
  /// onRefused or onUnanswered is called for it. Adjacent runs of one epoch are
  /// merged into one grant.
  std::vector<KeyGrant> dueGrants(std::size_t aMax, Millis aNow);
  void onGranted(const KeyGrant& aGrant, Millis aSentAt, Millis aNow);
  /// The upstream refused the grant because it has seen a higher epoch.
  void onRefused(const KeyGrant& aGrant, Millis aNow);
  /// No byte of the grant was sent.
  void onNotSent(const KeyGrant& aGrant, Millis aNow);
  void onUnanswered(const KeyGrant& aGrant, Millis aNow);
  /// The upstream has confirmed the release of a run.
  void onReleased(std::uint32_t aRun);
  /// The upstream rejected a request because it does not hold the key.
  void onNotHeld(std::uint64_t aKeyHash, Millis aNow);
  /// The upstream reported that it holds these keys and no others. aNow: when
  /// the report arrived.
  void onReportedHolds(std::span<const ReportedHold> aHolds, Millis aNow);
  /// Returns the rows of the answer to a report; adjacent runs of one epoch are
  /// merged into one row. aFits is called for each row in turn and returns
  /// false if the answer has no room left for it. Rows for keys that the
  /// upstream already holds come first, because the upstream would release them
  /// if they were left out.
  using FitsFn = std::function<bool(const KeyGrant&)>;
  std::vector<KeyGrant> answerReport(const FitsFn& aFits, Millis aNow);
  /// The upstream's process has ended, so it holds no keys, apart from those
  /// whose grant is in flight.
  void clearHolds();
  /// Another process of the upstream has reported. It may hold what was granted
  /// before its report, but nothing is certainly held.
  void onRestarted();

  /// Whether the upstream certainly holds the key. With grants sent as calls it
  /// must hold it at aEpoch.
  bool holds(std::uint64_t aKeyHash, Epoch aEpoch, Millis aNow) const;
  /// Earliest time from which the upstream certainly holds no key of the shard,
  /// whatever messages were lost, provided that nothing more is granted.
  /// Returns aNow if that is already so.
  Millis freeFrom(Shard aShard, Millis aNow) const;
  /// Whether a grant of the shard is in flight.
  bool isGrantInFlight(Shard aShard) const;
  /// Time of the next grant to send; empty if none will be due.
  std::optional<Millis> nextDue(Millis aNow) const;

private:
  struct Run
  {
    /// 0 if the run shall not be held.
    Epoch mDesiredEpoch = 0;
    Epoch mGrantedEpoch = 0;
    Millis mHeldUntil;
    /// With grants sent in answers: time by which the upstream has processed
    /// the answer.
    Millis mHeldFrom;
    Millis mMayBeHeldUntil;
    /// mMayBeHeldUntil without the grant in flight.
    Millis mMayBeHeldBefore;
    Millis mNextGrantAt;
    /// An unanswered grant may cause the run to be held until then.
    Millis mUnconfirmedUntil;
    /// A report that arrives earlier may have been sent before the upstream
    /// received the answer that grants the run.
    Millis mUnreportedUntil;
    bool mInFlight = false;
  };
  struct HandoverTokens
  {
    Epoch mEpoch = 0;
    std::vector<std::string> mTokens;
    Millis mReceivedAt;
  };
  bool isDue(const Run& aRun, Millis aNow) const;
  KeyGrant makeGrant(std::uint32_t aRun, Millis aNow) const;
  std::string handoverToken(std::uint32_t aRun, Millis aNow) const;
  template<typename Visit>
  void forEachRun(const KeyRange& aKeys, Visit aVisit);

  Millis mHoldTime = kGrantHoldTime;
  bool mGrantsInReportAnswers = false;
  Millis mAnsweredAt;
  KeyLayout mLayout;
  std::vector<Run> mRuns = std::vector<Run>(mLayout.runCount());
  std::map<Shard, HandoverTokens> mTokens;
};

}

#endif

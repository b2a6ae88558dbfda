#ifndef RADISHROAD_OWNERSHIP_GRANT_KEEPER_H
#define RADISHROAD_OWNERSHIP_GRANT_KEEPER_H

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

/// How long an upstream serves keys after a grant. A lost owner's keys wait so
/// long for the next one; where grants are calls, each renewal is a call for
/// each run of keys.
constexpr Millis kGrantHoldTime{ 3000 };

/// A shard that this daemon may have its upstream hold.
struct Holding
{
  Shard mShard = 0;
  Epoch mEpoch = 0;
};

/// All shards that this daemon may have its upstream hold.
struct Holdings
{
  KeyLayout mLayout;
  std::vector<Holding> mShards;
};

/// What an upstream says that it holds, or is still working on.
struct ReportedHold
{
  KeyRange mKeys;
  Epoch mEpoch = 0;
};

/// What an upstream says that it has given back.
struct ReportedRelease
{
  KeyRange mKeys;
  /// For the next holder.
  std::string mHandover;
};

/// One order to the upstream: hold these keys for a time.
struct GrantOrder
{
  KeyRange mKeys;
  Epoch mEpoch = 0;
  Millis mHoldTime;
  /// What the last holder gave out; empty if nothing came.
  std::string mHandover;
};

/// Keeps the keys of this daemon's shards granted to its own upstream, which
/// serves them for a hold time from the arrival of each grant. Pure.
///
/// Grants are either calls (due, onGranted and the like), or rows of the answer
/// to each of the upstream's reports (onReportedHolds, answerReport). An answer
/// holds everything that the upstream is to hold; it gives back the rest, and
/// its next report says so.
///
/// An upstream's clock may run slow, and a grant without an answer may arrive
/// late: until when a key may be held in spite of everything is tracked apart
/// from until when it is certainly held.
class GrantKeeper
{
public:
  /// An upstream's clock may run slow by one part in so many (the platform
  /// states 2%).
  static constexpr std::int64_t kSlowClockPart = 50;
  /// Time for an order to reach the upstream on the same machine.
  static constexpr Millis kTravelTime{ 200 };
  /// For clocks that count whole milliseconds and threads that wake late.
  static constexpr Millis kEndMargin{ 100 };

  /// Longest time for which keys may be held once granting has ended.
  static Millis longestHold(Millis aHoldTime);

  void setHoldTime(Millis aHoldTime) { mHoldTime = aHoldTime; }
  /// Grants are rows of answers to reports from now on, or calls.
  void setByReport(bool aByReport) { mByReport = aByReport; }
  /// Another layout forgets what was granted.
  void setLayout(KeyLayout aLayout);
  const KeyLayout& layout() const { return mLayout; }
  /// Whatever was granted before is not known, as after a start beside an
  /// upstream that runs: all keys may be held for one hold time from now.
  void assumeHeld(Millis aNow);
  /// Shards to be held from now on; others are not renewed.
  void setHoldings(std::span<const Holding> aHoldings);
  /// Tokens for the runs of a shard, for its first grant at a later epoch.
  void onHandover(Shard aShard,
                  Epoch aEpoch,
                  std::span<const std::string> aTokens,
                  Millis aNow);
  /// Grants to send now, at most aMost; each counts as under way until
  /// onGranted, onRefused or onUnanswered. Runs in a row become one order.
  std::vector<GrantOrder> due(std::size_t aMost, Millis aNow);
  void onGranted(const GrantOrder& aOrder, Millis aSentAt, Millis aNow);
  /// The upstream has seen a higher epoch.
  void onRefused(const GrantOrder& aOrder, Millis aNow);
  void onUnanswered(const GrantOrder& aOrder, Millis aNow);
  /// The upstream answered the release of a run.
  void onReleased(std::uint32_t aRun);
  /// The upstream says that it does not hold the key after all.
  void onNotHeld(std::uint64_t aKeyHash, Millis aNow);
  /// The upstream sent a report: it holds these keys and no others.
  void onReportedHolds(std::span<const ReportedHold> aHolds);
  /// The rows of an answer that is given now: neighbouring runs of one epoch
  /// are one row. aFits: asked for each row in turn, false if the answer has no
  /// room for it. What the upstream holds already goes first, since it would
  /// give back what is left out.
  using FitsFn = std::function<bool(const GrantOrder&)>;
  std::vector<GrantOrder> answerReport(const FitsFn& aFits, Millis aNow);
  /// Another life of the upstream, or none: nothing is held.
  void forget();

  /// The upstream holds the key for certain; where grants are calls, at this
  /// epoch.
  bool holds(std::uint64_t aKeyHash, Epoch aEpoch, Millis aNow) const;
  /// From then on no key of the shard is held, whatever was lost on the way,
  /// if nothing more is granted; not later than aNow if that is so already.
  Millis freeFrom(Shard aShard, Millis aNow) const;
  /// A grant of the shard is under way.
  bool underWay(Shard aShard) const;
  /// Time of the next order; nothing if none will be due.
  std::optional<Millis> nextDue(Millis aNow) const;

private:
  struct Run
  {
    /// 0 while the run is not to be held.
    Epoch mWanted = 0;
    Epoch mGranted = 0;
    Millis mHeldUntil;
    /// Rows of an answer: when the upstream has taken it in.
    Millis mHeldFrom;
    Millis mMayBeHeldUntil;
    Millis mNextOrder;
    /// A grant without an answer may have it held until then.
    Millis mDoubtUntil;
    bool mUnderWay = false;
  };
  struct Tokens
  {
    Epoch mEpoch = 0;
    std::vector<std::string> mTokens;
    Millis mAt;
  };
  bool isDue(const Run& aRun, Millis aNow) const;
  GrantOrder orderOf(std::uint32_t aRun, Millis aNow) const;
  std::string tokenOf(std::uint32_t aRun, Millis aNow) const;
  template<typename Visit>
  void forRuns(const KeyRange& aKeys, Visit aVisit);

  Millis mHoldTime = kGrantHoldTime;
  bool mByReport = false;
  Millis mAnsweredAt;
  KeyLayout mLayout;
  std::vector<Run> mRuns = std::vector<Run>(mLayout.runCount());
  std::map<Shard, Tokens> mTokens;
};

}

#endif

#ifndef RADISHROAD_POLICY_LINK_BUDGET_H
#define RADISHROAD_POLICY_LINK_BUDGET_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace radishroad {

/// Decides when large responses may be started on a VM with a narrow link.
///
/// Load pattern: for seconds, callers ask for more large responses than the
/// link carries. Started as fast as the upstream runs them, they would all be
/// late, and small responses would queue behind them. Instead, large runs are
/// started at the pace of the link, so that it stays busy with a short backlog,
/// and requests that it cannot carry by their objective are refused at once.
///
/// The backlog is computed from the bytes handed to the network and the link's
/// rate. If local queues hold more than that, the link is slower than
/// configured, and the rate is learned from what leaves them. Does no I/O and
/// reads no clock.
class LinkBudget
{
public:
  /// A queued request for a large response.
  struct Entry
  {
    /// Identifies the route; responses of one kind have similar sizes.
    std::uint32_t mKind = 0;
    Millis mObjectiveAt;
    /// Expected run time.
    Millis mRunTime;
    /// An earlier plan() has not refused it.
    bool mIsAccepted = false;
  };

  struct Verdict
  {
    enum class Action
    {
      Start,
      Hold,
      Refuse,
    };
    Action mAction = Action::Start;
    /// With Refuse: when the link has room for the request.
    Millis mRetryAfter;
    /// Time until the response would be through.
    Millis mThrough;
  };

  /// aBytesPerSecond: configured rate of the link; 0 disables the budget.
  explicit LinkBudget(double aBytesPerSecond);

  bool isEnabled() const { return mConfigured > 0; }
  /// Verdicts on the queued large requests, which are in the order in which
  /// they should start. Several entries may be started. Refused callers get
  /// different retry times.
  std::vector<Verdict> plan(std::span<const Entry> aEntries, Millis aNow);
  /// Time until one more large response of the most recent kind would be
  /// through, behind the entries that the last plan() held; 0 if no large
  /// response is known.
  Millis largeWait(Millis aNow);

  /// A run with a large response has started.
  void onStart(std::uint64_t aRun, const Entry& aEntry, Millis aNow);
  /// The run ended without a response. Unknown runs are ignored.
  void onLost(std::uint64_t aRun, Millis aNow);
  /// The run's response is handed to the network. aIsUsual: its size counts as
  /// usual for its kind. Unknown runs, those with small responses, add bytes
  /// only.
  void onResponse(std::uint64_t aRun,
                  std::size_t aBytes,
                  bool aIsUsual,
                  Millis aNow);
  /// Other bytes are handed to the network.
  void onSent(std::size_t aBytes, Millis aNow);
  /// Observed totals of the local queues to the network.
  void onObserved(std::uint64_t aQueuedTotal,
                  std::uint64_t aWrittenTotal,
                  Millis aNow);

  /// The rate in use, at most the configured one.
  double bytesPerSecond() const { return mRate; }
  /// Bytes handed to the network and not yet drained.
  double backlogBytes(Millis aNow);
  /// Expected bytes of running large responses.
  double reservedBytes() const { return mReserved; }
  double usualBytes(std::uint32_t aKind) const;

private:
  struct Run
  {
    std::uint32_t mKind = 0;
    double mBytes = 0;
  };
  struct Forecast
  {
    Millis mWait;
    Millis mThrough;
  };
  void drain(Millis aNow);
  /// aAhead: bytes of entries that start before.
  Forecast forecast(double aBytes, double aAhead, Millis aRunTime) const;
  Millis retryAfter(double aBytes, Millis aShortfall, Millis aNow);
  double takeReservation(std::uint64_t aRun);
  Millis transferTime(double aBytes) const;

  double mConfigured = 0;
  double mRate = 0;
  Millis mDrainedAt;
  double mBacklog = 0;
  double mReserved = 0;
  /// Bytes of the runs started and other bytes sent, drained at the link's
  /// rate from the start of a run on. Spreads the starts.
  double mPaced = 0;
  /// Bytes of the entries that the last plan() held.
  double mHeld = 0;
  std::map<std::uint64_t, Run> mRuns;
  std::map<std::uint32_t, double> mUsualBytes;
  Entry mLastLarge;
  bool mHasLarge = false;
  /// Room until then has been promised to refused callers.
  Millis mRetryUntil;
  /// Start of the period in which the local queues were never short, and the
  /// bytes written by then.
  Millis mCongestedSince;
  std::uint64_t mWrittenBefore = 0;
  bool mCongested = false;
  Millis mObservedAt;
};

}

#endif

#ifndef RADISHROAD_POLICY_CONCURRENCY_WINDOW_H
#define RADISHROAD_POLICY_CONCURRENCY_WINDOW_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishroad {

/// An upstream's own account of its load. It may lag or be wrong.
struct UpstreamLoadReport
{
  std::uint32_t mInFlight = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mQueued = 0;
};

/// How many requests an upstream is given at once. Pure.
///
/// It starts at one, grows round by round while answers come as fast as the
/// upstream's own baseline, and shrinks when they slow down, are shed or do
/// not come. A sudden slowdown is taken as a cold upstream: the window starts
/// over and the baseline is learned anew. The growth in rounds follows TCP's
/// slow start and additive increase, the baseline TCP Vegas, and its refresh
/// by a short dip the minimum-RTT probe of BBR.
class ConcurrencyWindow
{
public:
  explicit ConcurrencyWindow(std::uint32_t aMax);

  /// Upper bound from the service's configuration.
  void setMax(std::uint32_t aMax);
  /// Requests that may be in flight at once; at least 1.
  std::uint32_t limit() const;
  double size() const;
  /// Of limit(), how many may be not idempotent; at least 1. They cannot be
  /// taken back when the upstream turns cold.
  std::uint32_t nonIdempotentLimit() const;
  /// A request that callers ask for, whether or not it is sent.
  void onOffered(bool aIdempotent);

  /// The upstream has started, or came back: it bears little.
  void onCold(Millis aNow);
  /// An answer that took so long, with so many in flight as it was sent.
  void onAnswer(Millis aTook, std::uint32_t aInFlight, Millis aNow);
  void onShed(Millis aNow);
  /// A request's time ran out after it had been at the upstream for so long.
  void onTimeout(Millis aAge, Millis aNow);
  /// Time that nearly all requests take now; one with less time left than
  /// this is better not sent. 0 while nothing is known.
  Millis expectedTime() const;
  /// Ages of requests that have no answer yet, which tell a slowdown before
  /// late answers do.
  struct Ages
  {
    /// Older than this: nothing new is sent while half of them are.
    Millis mLate;
    /// Older than this: half of them mean a cold upstream.
    Millis mCold;
  };
  Ages ages() const;
  struct Pending
  {
    std::uint32_t mAll = 0;
    std::uint32_t mLate = 0;
    std::uint32_t mCold = 0;
  };
  /// To be called often while requests are in flight. True if the upstream
  /// has turned cold: what was sent beyond limit() is better taken back, as
  /// far as it may be run again.
  bool onPending(const Pending& aPending, Millis aNow);
  /// Only ever slows growth, and only along with slower answers.
  void onLoadReport(const UpstreamLoadReport& aReport);

private:
  std::uint32_t wholeSize() const;
  void endRound(Millis aNow);
  void startRound(Millis aNow);
  void updateExpectedTime();
  void adjustSize(double aMedian, Millis aNow);
  /// Requests sent with the window full were answered as fast as others.
  bool isFastWhenFull() const;
  /// An answer that was not late has come within the time that most take.
  bool hasRecentFastAnswer(Millis aNow) const;
  void resetGrowthEvidence();
  void grow();
  void decayUnused();
  void shrink(double aFactor, Millis aNow);
  Millis baselineRefreshInterval(Millis aNow) const;
  void maybeStartBaselineRefresh(Millis aNow);

  std::uint32_t mMax;
  double mSize;
  /// Nothing new is sent.
  bool mThrottled = false;
  /// Since the last cold start nothing has gone wrong yet.
  bool mSlowStart = true;
  Millis mColdAt;
  /// Answers to what was sent before do not count.
  Millis mIgnoredBefore;
  Millis mRoundStart;
  Millis mLastShrink;
  /// The last answer that was not late.
  Millis mLastFastAnswer;
  std::vector<double> mRoundSamples;
  /// Answer times of requests that filled the window when they were sent, the
  /// evidence for growth; kept over rounds until the window changes.
  std::vector<double> mFullWindowSamples;
  /// Answers, of whatever rank, since the window changed.
  std::size_t mAnswersSinceChange = 0;
  std::uint32_t mMaxInFlight = 0;
  /// Median answer time at low concurrency, in milliseconds.
  std::optional<double> mBaselineMs;
  double mExpectedMs = 0;
  /// Share of the offered requests that are not idempotent, smoothed.
  double mNonIdempotentShare = 0;
  Millis mNextRefresh;
  /// Size to return to after a refresh; none while there is no refresh.
  std::optional<double> mSizeAfterRefresh;
  UpstreamLoadReport mLoadReport;
};

}

#endif

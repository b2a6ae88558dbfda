#ifndef RADISHROAD_POLICY_CONCURRENCY_WINDOW_H
#define RADISHROAD_POLICY_CONCURRENCY_WINDOW_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishroad {

/// Load as reported by the upstream itself. The report may be outdated or
/// wrong.
struct UpstreamLoadReport
{
  std::uint32_t mInFlight = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mQueued = 0;
};

/// Adaptive limit on the requests in flight at an upstream. Does no I/O and
/// reads no clock.
///
/// The window starts at one, grows round by round while answer times stay near
/// the upstream's baseline, and shrinks when answers slow down, requests are
/// shed or time out. A sudden slowdown is treated as a cold upstream: the
/// window starts over and the baseline is learned anew. The growth follows
/// TCP's slow start and additive increase, the baseline follows TCP Vegas, and
/// its refresh by a short dip of the window follows the minimum-RTT probe of
/// BBR.
class ConcurrencyWindow
{
public:
  explicit ConcurrencyWindow(std::uint32_t aMax);

  /// Upper bound from the service's configuration.
  void setMax(std::uint32_t aMax);
  /// Requests that may be in flight at once; at least 1.
  std::uint32_t limit() const;
  double size() const;
  /// How many of limit() may be non-idempotent; at least 1. Non-idempotent
  /// requests cannot be cancelled and sent again when the upstream turns cold.
  std::uint32_t nonIdempotentLimit() const;
  /// Counts a request from a caller, whether or not it is sent.
  void onOffered(bool aIdempotent);

  /// The upstream has started or restarted and can handle little load.
  void onCold(Millis aNow);
  /// An answer arrived after aTook. aInFlight is the number of requests in
  /// flight when the request was sent.
  void onAnswer(Millis aTook, std::uint32_t aInFlight, Millis aNow);
  void onShed(Millis aNow);
  /// A request's deadline passed after it had been at the upstream for aAge.
  void onTimeout(Millis aAge, Millis aNow);
  /// Time within which nearly all requests are answered now; a request with
  /// less time left should not be sent. 0 while unknown.
  Millis expectedTime() const;
  /// Age limits for unanswered requests, which show a slowdown before late
  /// answers do.
  struct Ages
  {
    /// While half of the requests are older than this, only one may be in
    /// flight.
    Millis mLate;
    /// If half of the requests are older than this, the upstream counts as
    /// cold.
    Millis mCold;
  };
  Ages ages() const;
  struct Pending
  {
    std::uint32_t mTotal = 0;
    std::uint32_t mLate = 0;
    std::uint32_t mCold = 0;
  };
  /// To be called often while requests are in flight. Returns true if the
  /// upstream has turned cold; the caller should then cancel idempotent
  /// requests beyond limit() and send them again later.
  bool onPending(const Pending& aPending, Millis aNow);
  /// A load report can only slow growth, and only while answers are slower than
  /// the baseline too.
  void onLoadReport(const UpstreamLoadReport& aReport);

private:
  std::uint32_t wholeSize() const;
  void endRound(Millis aNow);
  void startRound(Millis aNow);
  void updateExpectedTime();
  void adjustSize(double aMedian, Millis aNow);
  /// Requests sent while the window was full were answered as fast as others.
  bool isFastWhenFull() const;
  /// An answer that was not late has arrived within about two baseline times.
  bool hasRecentFastAnswer(Millis aNow) const;
  void resetGrowthEvidence();
  void grow();
  void decayUnused();
  void shrink(double aFactor, Millis aNow);
  Millis baselineRefreshInterval(Millis aNow) const;
  void maybeStartBaselineRefresh(Millis aNow);

  std::uint32_t mMax;
  double mSize;
  /// Limits the window to one request while too many are late.
  bool mThrottled = false;
  /// True until the window first shrinks after a cold start.
  bool mSlowStart = true;
  Millis mColdAt;
  /// Answers to requests sent before this time are ignored.
  Millis mIgnoredBefore;
  Millis mRoundStart;
  Millis mLastShrink;
  /// Time of the last answer that was not late.
  Millis mLastFastAnswer;
  std::vector<double> mRoundSamples;
  /// Answer times of requests that filled the window when they were sent: the
  /// evidence for growth, kept over rounds until the window size changes.
  std::vector<double> mFullWindowSamples;
  /// All answers since the window size changed.
  std::size_t mAnswersSinceChange = 0;
  std::uint32_t mMaxInFlight = 0;
  /// Median answer time at low concurrency, in milliseconds.
  std::optional<double> mBaselineMs;
  double mExpectedMs = 0;
  /// Smoothed share of non-idempotent requests among those offered.
  double mNonIdempotentShare = 0;
  Millis mNextRefresh;
  /// Size to restore after a baseline refresh; empty while none is running.
  std::optional<double> mSizeAfterRefresh;
  UpstreamLoadReport mLoadReport;
};

}

#endif

#ifndef RADISHROAD_POLICY_STREAM_WINDOW_H
#define RADISHROAD_POLICY_STREAM_WINDOW_H

#include "radishroad/base/millis.h"

#include <cstddef>

namespace radishroad {

/// The sender's side of the flow control of one streamed body. The reader gives
/// credit for the bytes that it has taken. Does no I/O and reads no clock.
///
/// Load pattern: readers that take a large body slowly, or not at all, beside
/// fast ones. Each holds at most one window of memory. One that takes fewer
/// than Options::mMinBytes within Options::mStallTime, although bytes wait for
/// it, counts as stalled. So a body of N bytes is ended after at most
/// (N / mMinBytes + 1) * mStallTime, and one whose reader has stopped after
/// mStallTime.
class StreamWindow
{
public:
  struct Options
  {
    /// Bytes that may be sent and not yet taken.
    std::size_t mBytes = 128U << 10;
    Millis mStallTime{ 5000 };
    std::size_t mMinBytes = 32U << 10;
  };

  explicit StreamWindow(Options aOptions);

  /// Bytes that may be sent now.
  std::size_t sendable() const;
  /// May exceed sendable() for a first part that was collected before.
  void onSent(std::size_t aBytes, Millis aNow);
  /// The reader has taken aBytes. False, without effect, if it was not sent as
  /// many.
  bool onTaken(std::size_t aBytes, Millis aNow);
  /// Bytes that were sent and not yet taken.
  std::size_t outstanding() const { return mOutstanding; }
  bool isStalled(Millis aNow) const;

private:
  Options mOptions;
  std::size_t mOutstanding = 0;
  /// Bytes taken since mPeriodStart.
  std::size_t mTakenInPeriod = 0;
  Millis mPeriodStart;
};

}

#endif

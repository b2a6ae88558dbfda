#ifndef RADISHROAD_TOOLS_COMMON_TIMER_FD_H
#define RADISHROAD_TOOLS_COMMON_TIMER_FD_H

#include <chrono>

namespace radishroad::tools {

/// A timer descriptor (timerfd) that becomes readable at a set time, for waits
/// with a finer resolution than the milliseconds of poll().
class TimerFd
{
public:
  /// Throws std::system_error if no timer descriptor can be created.
  TimerFd();
  ~TimerFd();
  TimerFd(const TimerFd&) = delete;
  TimerFd& operator=(const TimerFd&) = delete;

  int descriptor() const;
  /// Replaces the previous time. With a time in the past, the descriptor
  /// becomes readable immediately.
  void arm(std::chrono::steady_clock::time_point aAt);
  void disarm();

private:
  int mDescriptor;
};

}

#endif

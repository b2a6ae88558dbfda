#ifndef RADISHROAD_TOOLS_COMMON_WAKE_TIMER_H
#define RADISHROAD_TOOLS_COMMON_WAKE_TIMER_H

#include <chrono>

namespace radishroad::tools {

/// A descriptor that becomes readable at a set time, for waits that are finer
/// than the milliseconds of poll().
class WakeTimer
{
public:
  /// Throws std::system_error if the system gives no timer.
  WakeTimer();
  ~WakeTimer();
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  int descriptor() const;
  /// Replaces the time set before. One that has passed counts at once.
  void arm(std::chrono::steady_clock::time_point aAt);
  void disarm();

private:
  int mDescriptor;
};

}

#endif

#ifndef RADISHROAD_BASE_TIMER_H
#define RADISHROAD_BASE_TIMER_H

#include "radishroad/base/millis.h"

#include <functional>
#include <memory>

namespace radishroad {

/// Runs functions after a delay, on one thread (Boost.Asio).
class Timer
{
public:
  Timer();
  /// Stops the thread; pending functions are discarded.
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Schedules a function. May be called from any thread.
  void after(Millis aDelay, std::function<void()> aFunction);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

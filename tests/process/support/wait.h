#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_WAIT_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_WAIT_H

#include "radishroad/base/millis.h"

#include <chrono>
#include <functional>
#include <thread>

namespace radishroad::test {

/// Polls until the condition holds; returns false on timeout.
inline bool
waitFor(const std::function<bool()>& aCondition, Millis aTimeout)
{
  constexpr std::chrono::milliseconds kPollInterval(10);
  const Millis deadline = monotonicNow() + aTimeout;
  while (!aCondition()) {
    if (monotonicNow() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}

#endif

#include "radishroad/base/millis.h"

#include <chrono>
#include <ctime>

namespace radishroad {

Millis
monotonicNow()
{
  // CLOCK_MONOTONIC, which steady_clock uses, stops while the VM is suspended;
  // leases must continue to expire during that time.
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1000000;
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return { time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli };
}

Millis
wallNow()
{
  return { std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count() };
}

}

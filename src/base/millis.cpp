#include "radishroad/base/millis.h"

#include <chrono>

namespace radishroad {

namespace {

template<typename Clock>
Millis
readClock()
{
  return { std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
             .count() };
}

}

Millis
monotonicNow()
{
  return readClock<std::chrono::steady_clock>();
}

Millis
wallNow()
{
  return readClock<std::chrono::system_clock>();
}

}

#include "radishroad/log/append_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000;

}

AppendRateLimiter::AppendRateLimiter(double aPerSecond,
                                     double aBurst,
                                     Millis aNow)
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
  , mUpdatedAt(aNow)
{
}

Millis
AppendRateLimiter::acquire(Millis aNow)
{
  const double elapsed = static_cast<double>((aNow - mUpdatedAt).mCount);
  mTokens = std::min(mBurst, mTokens + elapsed * mPerSecond / kMillisPerSecond);
  mUpdatedAt = aNow;
  if (mTokens >= 1) {
    mTokens -= 1;
    return {};
  }
  const double wait = (1 - mTokens) * kMillisPerSecond / mPerSecond;
  return { static_cast<std::int64_t>(std::ceil(wait)) };
}

}

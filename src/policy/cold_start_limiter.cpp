#include "radishroad/policy/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Requests that may be sent at once. Within any second the limiter then stays
/// below one and a half times the rate plus five, the bound that is guaranteed
/// to upstreams.
constexpr double kBurst = 3;
constexpr double kMillisPerSecond = 1000;

}

void
ColdStartLimiter::setRate(double aPerSecond)
{
  mPerSecond = aPerSecond;
}

void
ColdStartLimiter::onCold(Millis aDuration, Millis aNow)
{
  if (aDuration <= Millis{}) {
    mColdUntil.reset();
    return;
  }
  if (!isCold(aNow)) {
    mTokens = 1;
    mRefilledAt = aNow;
  }
  mColdUntil = aNow + aDuration;
}

bool
ColdStartLimiter::isCold(Millis aNow) const
{
  return mPerSecond > 0 && mColdUntil && aNow < *mColdUntil;
}

void
ColdStartLimiter::refill(Millis aNow)
{
  const double passed = static_cast<double>((aNow - mRefilledAt).mCount);
  if (passed > 0) {
    mTokens =
      std::min(kBurst, mTokens + mPerSecond * passed / kMillisPerSecond);
    mRefilledAt = aNow;
  }
}

bool
ColdStartLimiter::maySend(Millis aNow)
{
  if (!isCold(aNow)) {
    return true;
  }
  refill(aNow);
  return mTokens >= 1;
}

void
ColdStartLimiter::onSent(Millis aNow)
{
  if (isCold(aNow)) {
    refill(aNow);
    mTokens = std::max(0.0, mTokens - 1);
  }
}

Millis
ColdStartLimiter::nextSend(Millis aNow)
{
  if (maySend(aNow)) {
    return aNow;
  }
  const double wait = (1 - mTokens) / mPerSecond * kMillisPerSecond;
  return aNow + Millis{ static_cast<std::int64_t>(std::ceil(wait)) };
}

}

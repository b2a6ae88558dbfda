#include "radishroad/policy/send_bucket.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Requests that may be sent at once. Within any second the bucket then stays
/// below one and a half times the rate plus five, the bound that is guaranteed
/// to upstreams.
constexpr double kBurst = 3;
constexpr double kMillisPerSecond = 1000;

}

void
SendBucket::start(Millis aNow)
{
  mTokens = 1;
  mRefilledAt = aNow;
}

void
SendBucket::refill(double aPerSecond, Millis aNow)
{
  const double passed = static_cast<double>((aNow - mRefilledAt).mCount);
  if (passed > 0) {
    mTokens =
      std::min(kBurst, mTokens + aPerSecond * passed / kMillisPerSecond);
    mRefilledAt = aNow;
  }
}

bool
SendBucket::maySend(double aPerSecond, Millis aNow)
{
  refill(aPerSecond, aNow);
  return mTokens >= 1;
}

void
SendBucket::onSent(double aPerSecond, Millis aNow)
{
  refill(aPerSecond, aNow);
  mTokens = std::max(0.0, mTokens - 1);
}

Millis
SendBucket::nextSend(double aPerSecond, Millis aNow)
{
  if (maySend(aPerSecond, aNow)) {
    return aNow;
  }
  const double wait = (1 - mTokens) / aPerSecond * kMillisPerSecond;
  return aNow + Millis{ static_cast<std::int64_t>(std::ceil(wait)) };
}

}

#ifndef RADISHROAD_LOG_APPEND_RATE_LIMITER_H
#define RADISHROAD_LOG_APPEND_RATE_LIMITER_H

#include "radishroad/base/millis.h"

namespace radishroad {

/// Token bucket that limits the appends of one daemon, retries included. The
/// log accepts several hundred appends per second from all daemons together.
/// Performs no I/O and does not read the clock.
class AppendRateLimiter
{
public:
  AppendRateLimiter(double aPerSecond, double aBurst, Millis aNow);

  /// Returns zero if a token was taken, else the time until the next token.
  Millis acquire(Millis aNow);

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  Millis mUpdatedAt;
};

}

#endif

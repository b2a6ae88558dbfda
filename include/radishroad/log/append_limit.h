#ifndef RADISHROAD_LOG_APPEND_LIMIT_H
#define RADISHROAD_LOG_APPEND_LIMIT_H

#include "radishroad/base/millis.h"

namespace radishroad {

/// Token bucket over a daemon's appends, repeated ones included. The log takes
/// several hundred appends a second from all daemons together. Pure.
class AppendLimit
{
public:
  AppendLimit(double aPerSecond, double aBurst, Millis aNow);

  /// Zero if a token was taken, else the time until there is one.
  Millis take(Millis aNow);

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  Millis mUpdatedAt;
};

}

#endif

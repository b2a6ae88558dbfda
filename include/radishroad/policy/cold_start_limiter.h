#ifndef RADISHROAD_POLICY_COLD_START_LIMITER_H
#define RADISHROAD_POLICY_COLD_START_LIMITER_H

#include "radishroad/base/millis.h"

#include <optional>

namespace radishroad {

/// Bounds what a cold upstream is sent: a token bucket at the rate that it
/// bears, with a burst well below one second's worth, so that no second sees
/// more than the rate and the burst.
///
/// Load pattern: the upstreams of an availability zone come back together and
/// callers that were refused return at the same moment. Pure.
class ColdStartLimiter
{
public:
  /// Requests a second that a cold upstream bears; 0 for no bound.
  void setRate(double aPerSecond);
  /// The upstream says that it stays cold for so long.
  void onCold(Millis aDuration, Millis aNow);
  bool isCold(Millis aNow) const;
  /// A request may be sent now. Always true while the upstream is warm.
  bool maySend(Millis aNow);
  void onSent(Millis aNow);
  /// Time from which the next one may be sent.
  Millis nextSend(Millis aNow);

private:
  void refill(Millis aNow);

  double mPerSecond = 0;
  double mTokens = 0;
  Millis mRefilledAt;
  std::optional<Millis> mColdUntil;
};

}

#endif

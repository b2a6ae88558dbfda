#ifndef RADISHROAD_POLICY_COLD_START_LIMITER_H
#define RADISHROAD_POLICY_COLD_START_LIMITER_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/send_bucket.h"

#include <optional>

namespace radishroad {

/// Limits the request rate to a cold upstream with a token bucket.
///
/// Load pattern: the upstreams of an availability zone come back together, and
/// callers that were refused retry at the same moment. Does no I/O and reads no
/// clock.
class ColdStartLimiter
{
public:
  /// Requests a second that a cold upstream can handle; 0 for no limit.
  void setRate(double aPerSecond);
  /// The upstream reports that it stays cold for aDuration; 0 or less means
  /// that it is warm.
  void onCold(Millis aDuration, Millis aNow);
  bool isCold(Millis aNow) const;
  /// Returns whether a request may be sent now; always true while the upstream
  /// is warm.
  bool maySend(Millis aNow);
  void onSent(Millis aNow);
  /// Returns the time from which the next request may be sent.
  Millis nextSend(Millis aNow);

private:
  double mPerSecond = 0;
  SendBucket mBucket;
  std::optional<Millis> mColdUntil;
};

}

#endif

#ifndef RADISHROAD_POLICY_SEND_BUCKET_H
#define RADISHROAD_POLICY_SEND_BUCKET_H

#include "radishroad/base/millis.h"

namespace radishroad {

/// Token bucket for requests to one upstream. The burst is well below one
/// second's worth of requests, so that no second sees more than the rate plus
/// the burst. Does no I/O and reads no clock.
class SendBucket
{
public:
  /// Starts with one token. What was sent before may have used up the burst.
  void start(Millis aNow);
  /// aPerSecond: requests a second; greater than 0.
  bool maySend(double aPerSecond, Millis aNow);
  void onSent(double aPerSecond, Millis aNow);
  /// Returns the time from which the next request may be sent.
  Millis nextSend(double aPerSecond, Millis aNow);

private:
  void refill(double aPerSecond, Millis aNow);

  double mTokens = 0;
  Millis mRefilledAt;
};

}

#endif

#ifndef RADISHROAD_DAEMON_LEASE_LOG_H
#define RADISHROAD_DAEMON_LEASE_LOG_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

namespace radishroad {

/// Logs, at level debug, promises and consents as this daemon sends them, with
/// the monotonic time. Other frames are passed over.
void
logSentFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// The same for promises that it receives.
void
logReceivedFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// Logs the moments at which this daemon's lease begins and ends to be held.
class LeaseLog
{
public:
  void onLease(Millis aHeldUntil, Millis aNow);

private:
  bool mHeld = false;
};

}

#endif

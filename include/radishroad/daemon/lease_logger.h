#ifndef RADISHROAD_DAEMON_LEASE_LOGGER_H
#define RADISHROAD_DAEMON_LEASE_LOGGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

namespace radishroad {

/// Logs, at level debug, this witness's answer to a renewal, with the send time
/// of the newest renewal that its holder names as answered.
void
logRenewalAnswer(const wire::PromiseT& aPromise,
                 Millis aHeardSentAt,
                 Millis aNow);

/// Logs, at level debug, consents as this daemon sends them, with the monotonic
/// time. Other frames are passed over.
void
logSentFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// The same for answers to its renewals as it receives them.
void
logReceivedFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// Logs the moments at which this daemon's lease begins and ends to be held.
class LeaseLogger
{
public:
  void onLease(Millis aHeldUntil, Millis aNow);

private:
  bool mHeld = false;
};

}

#endif

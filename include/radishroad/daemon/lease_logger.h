#ifndef RADISHROAD_DAEMON_LEASE_LOGGER_H
#define RADISHROAD_DAEMON_LEASE_LOGGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

namespace radishroad {

/// Logs, at debug level, this witness's answer to a renewal, together with the
/// send time of the newest renewal that the lease holder reports as answered.
void
logRenewalAnswer(const wire::PromiseT& aPromise,
                 Millis aAckedSentAt,
                 Millis aNow);

/// Logs, at debug level, the consents that this daemon sends, with the
/// monotonic time. Ignores other frames.
void
logSentFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// The same for the answers to its renewals that this daemon receives.
void
logReceivedFrame(const wire::FrameBodyUnion& aBody, Millis aNow);

/// Logs when this daemon acquires its lease and when the lease lapses.
class LeaseLogger
{
public:
  void onLease(Millis aHeldUntil, Millis aNow);

private:
  bool mHeld = false;
};

}

#endif

#ifndef RADISHROAD_SRC_DAEMON_INGRESS_FLIGHT_H
#define RADISHROAD_SRC_DAEMON_INGRESS_FLIGHT_H

#include "radishroad/daemon/ingress.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace radishroad {

/// One caller's request on its way.
struct Ingress::Flight
{
  ForwardRequest mRequest;
  AnswerFn mAnswer;
  Millis mReceivedAt;
  Millis mDeadline;
  /// Time up to which the request waits for its workspace's tokens.
  Millis mAdmitUntil;
  /// The route is open and the caller has no known key.
  bool mOpen = false;
  /// Told to wait for tokens.
  bool mHeldForToken = false;
  /// An attempt ended with an unknown outcome: no refusal after it may claim
  /// that the request was not run.
  bool mMayHaveRun = false;
  NotRunReason mLastReason = NotRunReason::None;
  /// Latency objective; the deadline if there is none.
  Millis mObjectiveAt;
  /// Up to then a request that was not run is sent again; after that its
  /// caller is told to come back.
  Millis mResendUntil;
  /// Times that it was sent after its key to the next owner.
  int mFollowed = 0;
  /// Any upstream of the service may run it.
  bool mUnkeyed = false;
  /// Daemons that refused it, for requests that any upstream may run.
  std::vector<Incarnation> mRefusedBy;
  /// The caller has gone.
  std::atomic<bool> mCancelled{ false };
  /// Held while an attempt is handed over, so that its cancel cannot be first.
  std::mutex mAttemptMutex;
  /// Daemon that the last attempt went to; 0 before the first.
  Incarnation mSentTo = 0;
  std::string mPeerAddress;
};

}

#endif

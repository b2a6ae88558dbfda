#ifndef RADISHROAD_SRC_DAEMON_INGRESS_PENDING_REQUEST_H
#define RADISHROAD_SRC_DAEMON_INGRESS_PENDING_REQUEST_H

#include "radishroad/daemon/ingress.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// A caller's request that has not been answered yet.
struct Ingress::PendingRequest
{
  /// As received; moved into mRequest once a route is found.
  CallerRequest mCallerRequest;
  ForwardRequest mRequest;
  AnswerFn mAnswer;
  Millis mReceivedAt;
  /// When it began to run, later than mReceivedAt if it is pipelined.
  Millis mStartedAt;
  Millis mDeadline;
  /// Time until which the request waits for a token of its workspace.
  Millis mTokenWaitEnd;
  /// No token is needed: the route is open and the caller has no known key, or,
  /// in the platform's protocol, the workspace has no rate limit.
  bool mRateExempt = false;
  bool mIsWaitingForTokens = false;
  /// An attempt ended with an unknown outcome, so a later refusal must not
  /// state that the request was not executed.
  bool mMayHaveRun = false;
  NotRunReason mLastReason = NotRunReason::None;
  /// Time of the route's latency objective; the deadline if there is none.
  Millis mObjectiveAt;
  /// Until this time a request that was not executed is resent; after it the
  /// caller is told to retry.
  Millis mResendUntil;
  /// How often the request was resent because its key had moved.
  int mOwnerChanges = 0;
  /// Any upstream of the service may run the request.
  bool mUnkeyed = false;
  /// Daemons that refused the request; only for unkeyed requests.
  std::vector<Incarnation> mRefusedBy;
  /// Earliest time at which one of them has room again; set if the service
  /// shares room.
  std::optional<Millis> mRoomAt;
  /// The caller has disconnected.
  std::atomic<bool> mCancelled{ false };
  /// Held while an attempt is dispatched, so that its cancellation cannot
  /// overtake it.
  std::mutex mAttemptMutex;
  /// By what this daemon refused the request, for logs. Not set if another
  /// daemon refused it.
  struct RefusalBasis
  {
    std::uint64_t mOperatorVersion = 0;
    /// See Ingress::Hooks::mConfigAsOf.
    std::optional<Millis> mConfigAsOf;
  };
  std::optional<RefusalBasis> mRefusalBasis;
  /// When the last attempt was sent.
  Millis mSentAt;
  /// Daemon to which the last attempt was sent; 0 before the first.
  Incarnation mSentTo = 0;
  std::string mPeerAddress;
  /// VM of that daemon, which stays the same when the daemon restarts.
  std::string mSentToVm;
  /// That daemon's availability zone if it was out of service when the attempt
  /// was sent, and for how long this daemon had known it; for logs.
  std::string mZoneOut;
  Millis mZoneKnownOut;
};

}

#endif

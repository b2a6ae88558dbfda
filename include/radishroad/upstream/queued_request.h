#ifndef RADISHROAD_UPSTREAM_QUEUED_REQUEST_H
#define RADISHROAD_UPSTREAM_QUEUED_REQUEST_H

#include "radishroad/base/body_share.h"
#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"
#include "radishroad/upstream/response_trace.h"

#include <cstdint>

namespace radishroad {

/// A request in the gate's queue.
struct QueuedRequest
{
  ForwardRequest mRequest;
  BodyShare mBodyShare;
  AnswerFn mAnswer;
  std::uint64_t mFingerprint = 0;
  /// Key in DeduplicationCache; empty if the request may be run again.
  std::string mDeduplicationKey;
  /// Monotonic time at which the request expires.
  Millis mDeadline;
  /// The upstream may work on it until then; at most mDeadline.
  Millis mWorkUntil;
  /// Earliest time of the next attempt, for example after a failed connection
  /// or while the lease has lapsed.
  Millis mNotBefore;
  Millis mQueuedAt;
  /// Unique among queued requests.
  std::uint64_t mQueueId = 0;
  /// The request is refused at this time if its key still cannot be served.
  Millis mKeyWaitUntil;
  /// How often the upstream rejected the request without running it: because
  /// of overload, or because it did not hold the key.
  int mRejections = 0;
  /// It was sent once, then cancelled and requeued because the upstream turned
  /// cold.
  bool mRequeued = false;
  /// How the upstream's last response to it was received.
  ResponseTrace mResponse;
  /// Why its last run was abandoned; None if it was not.
  NotRunReason mAbandonReason = NotRunReason::None;
  /// The upstream has responded to an earlier attempt with the same id.
  bool mRepeatsId = false;
  /// Time until its large response would have been through when it was refused
  /// because of the link; otherwise 0.
  Millis mLinkThrough;
};

}

#endif

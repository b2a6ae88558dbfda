#ifndef RADISHROAD_UPSTREAM_QUEUED_REQUEST_H
#define RADISHROAD_UPSTREAM_QUEUED_REQUEST_H

#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"

#include <cstdint>

namespace radishroad {

/// A request that waits for its turn at the upstream.
struct QueuedRequest
{
  ForwardRequest mRequest;
  AnswerFn mAnswer;
  std::uint64_t mFingerprint = 0;
  /// Name in the duplicate memory; empty if it may run again.
  std::string mDuplicateKey;
  /// Monotonic; the request is given up then.
  Millis mDeadline;
  /// Not to be tried before, because the lease has lapsed for the moment.
  Millis mNotBefore;
  Millis mQueuedAt;
  /// Tells requests in the queue apart.
  std::uint64_t mQueueId = 0;
  /// Refused then if the key cannot be served yet.
  Millis mKeyWaitUntil;
  /// How often the upstream has shed it.
  int mRejections = 0;
  /// It was sent once and cancelled because the upstream turned cold.
  bool mRequeued = false;
};

}

#endif

#ifndef RADISHROAD_REQUEST_REQUEST_H
#define RADISHROAD_REQUEST_REQUEST_H

#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"
#include "radishroad/generated/peer_generated.h"

#include <functional>
#include <string>
#include <vector>

namespace radishroad {

/// The messages of the request path are the generated FlatBuffers object
/// types: what goes over the peer link needs no second set of structs.
using wire::AnswerKind;
using wire::NotRunReason;
using ForwardRequest = wire::ForwardRequestT;
using Answer = wire::ForwardAnswerT;

/// A request as read from a caller's connection, before it is routed.
struct CallerRequest
{
  RandomId mId;
  std::string mMethod;
  /// Path and query, undecoded.
  std::string mTarget;
  std::vector<wire::HeaderT> mHeaders;
  std::string mBody;
  /// Monotonic time at which the whole request had been read.
  Millis mReceivedAt;
};

/// Takes the answer of one request; called exactly once, from any thread.
using AnswerFn = std::function<void(Answer)>;

/// Tells that nobody waits for the answer any more. Any thread; has no effect
/// once the answer has been given.
using CancelFn = std::function<void()>;

/// Takes a whole request from a caller. What it returns may be empty.
using CallerRequestFn = std::function<CancelFn(CallerRequest, AnswerFn)>;

/// Takes a request bound for this daemon's own upstream.
using ForwardFn = std::function<void(ForwardRequest, AnswerFn)>;

/// An answer that says the request was not run, and why.
Answer
makeNotRunAnswer(RandomId aId, NotRunReason aReason, Millis aRetryAfter = {});

/// An answer that says the request may or may not have run.
Answer
makeUnknownAnswer(RandomId aId);

RandomId
idOf(const ForwardRequest& aRequest);

RandomId
idOf(const Answer& aAnswer);

}

#endif

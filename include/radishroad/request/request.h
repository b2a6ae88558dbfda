#ifndef RADISHROAD_REQUEST_REQUEST_H
#define RADISHROAD_REQUEST_REQUEST_H

#include "radishroad/base/body_share.h"
#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"
#include "radishroad/generated/peer_generated.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace radishroad {

/// The request path uses the generated FlatBuffers object types directly, so
/// messages on the peer link need no separate set of structs.
using wire::AnswerKind;
using wire::NotRunReason;
using ForwardRequest = wire::ForwardRequestT;

class BodyStream;

/// The answer to one request.
struct Answer : wire::ForwardAnswerT
{
  Answer() = default;
  /// An answer from the wire, without a stream. Implicit, since decoded frames
  /// are passed on as answers.
  Answer(wire::ForwardAnswerT aAnswer)
    : wire::ForwardAnswerT(std::move(aAnswer))
  {
  }

  /// With `streams`: the whole body; `body` is then empty. Null otherwise.
  std::shared_ptr<BodyStream> mStream;
};

/// A request as read from a caller's connection, before routing.
struct CallerRequest
{
  RandomId mId;
  std::string mMethod;
  /// Path and query, not percent-decoded.
  std::string mTarget;
  std::vector<wire::HeaderT> mHeaders;
  std::string mBody;
  /// Counts the body until the request is answered.
  BodyShare mBodyShare;
  /// Monotonic time at which the whole request had been read.
  Millis mReceivedAt;
  /// When it was handed to the handler, later if it had to wait for the answers
  /// to those before it on its connection.
  Millis mStartedAt;
};

/// Receives the answer to one request. Called exactly once, from any thread.
using AnswerFn = std::function<void(Answer)>;

/// Signals that the caller no longer waits for the answer. May be called from
/// any thread; has no effect after the answer was delivered.
using CancelFn = std::function<void()>;

/// Handles a complete request from a caller. The returned function may be
/// empty.
using CallerRequestFn = std::function<CancelFn(CallerRequest, AnswerFn)>;

/// Handles a request for this daemon's own upstream.
using ForwardFn = std::function<void(ForwardRequest, AnswerFn)>;

/// Builds an answer stating that the request was not run, and why.
Answer
makeNotRunAnswer(RandomId aId, NotRunReason aReason, Millis aRetryAfter = {});

/// Builds an answer stating that it is unknown whether the request was run.
Answer
makeUnknownAnswer(RandomId aId);

RandomId
idOf(const ForwardRequest& aRequest);

RandomId
idOf(const Answer& aAnswer);

}

#endif

#ifndef RADISHROAD_CALLER_RESPONSE_H
#define RADISHROAD_CALLER_RESPONSE_H

#include "radishroad/caller/refusal.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// A complete response, ready to be sent.
struct Response
{
  std::string mHead;
  std::vector<std::uint8_t> mBody;
  BodyShare mBodyShare;
  /// The body has no length and ends with the connection.
  bool mEndsWithConnection = false;
  /// The body; mBody is then empty. May be null.
  std::shared_ptr<BodyStream> mStream;
};

/// Options for the serialization of a response.
struct ResponseOptions
{
  bool mKeepAlive = true;
  /// Answers a HEAD request: the head is that of a response with a body, but
  /// the body is omitted.
  bool mIsHead = false;
  /// Retry-After has three decimals instead of whole seconds.
  bool mFractionalRetryAfter = false;
  /// Sends 503 in place of 409 and 422, for callers whose protocol does not
  /// define these statuses for a refusal.
  bool mRestrictStatuses = false;
};

/// Whether the response for this answer has no length, as that of the upstream
/// had none, and must be the last on its connection.
bool
endsConnection(const Answer& aAnswer, bool aIsHead);

/// Makes the response for an answer: the upstream's response if there is one,
/// else a refusal in JSON. docs/upstream-protocol.md lists the status for each
/// reason. If endsConnection(), mKeepAlive has no effect.
Response
makeResponse(Answer aAnswer, RandomId aId, ResponseOptions aOptions);

/// Makes the response to input that is not a valid request. It closes the
/// connection.
Response
makeRefusal(const Refusal& aRefusal, RandomId aId, bool aIsHead);

/// Name of a reason in the JSON of a refusal, such as "queue-full".
std::string_view
reasonName(NotRunReason aReason);

/// HTTP status code of a refusal.
unsigned
statusOf(AnswerKind aKind, NotRunReason aReason);

/// "answered", "not-run" or "unknown".
std::string_view
outcomeName(AnswerKind aKind);

}

#endif

#ifndef RADISHROAD_CALLER_RESPONSE_H
#define RADISHROAD_CALLER_RESPONSE_H

#include "radishroad/caller/refusal.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// A whole response, ready to be written.
struct Response
{
  std::string mHead;
  std::vector<std::uint8_t> mBody;
};

/// How a response is framed.
struct ResponseFraming
{
  bool mKeepAlive = true;
  /// Answers HEAD: the head as if there were a body, but no body.
  bool mIsHead = false;
  /// Retry-After may have a fraction of a second.
  bool mExactRetryAfter = false;
  /// Whoever reads a refusal takes statuses of their word only: what was not
  /// run for reasons of this system is 503.
  bool mPlainStatuses = false;
};

/// The response for an answer: the upstream's own if there is one, else a
/// refusal in JSON. The status for each reason is in docs/upstream-protocol.md.
Response
makeResponse(Answer aAnswer, RandomId aId, ResponseFraming aFraming);

/// The response to what was never a whole request. Ends the connection.
Response
makeRefusal(const Refusal& aRefusal, RandomId aId, bool aIsHead);

/// "queue-full" and the like, as in the refusal's JSON.
std::string_view
reasonName(NotRunReason aReason);

/// HTTP status of a refusal.
unsigned
statusOf(AnswerKind aKind, NotRunReason aReason);

/// "answered", "not-run" or "unknown".
std::string_view
outcomeName(AnswerKind aKind);

}

#endif

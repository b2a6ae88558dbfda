#include "radishroad/caller/response.h"

#include "radishroad/caller/header_filter.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>
#include <span>

namespace radishroad {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr std::int64_t kMillisPerSecond = 1000;

struct ReasonText
{
  NotRunReason mReason;
  std::string_view mName;
  unsigned mStatus;
  std::string_view mMessage;
};

constexpr std::array<ReasonText, 17> kReasons{ {
  { NotRunReason::None, "none", 503, "the request was not run" },
  { NotRunReason::NotOwner, "not-owner", 503, "the key's owner has changed" },
  { NotRunReason::NoOwner, "no-owner", 503, "the key has no owner just now" },
  { NotRunReason::LeaseLapsed,
    "lease-lapsed",
    503,
    "the key's owner may not serve just now" },
  { NotRunReason::QueueFull, "queue-full", 503, "too many requests wait" },
  { NotRunReason::DeadlinePassed,
    "deadline-passed",
    504,
    "the deadline passed before the request could run" },
  { NotRunReason::Shed, "shed", 503, "the upstream sheds load" },
  { NotRunReason::UpstreamDown,
    "upstream-down",
    503,
    "the upstream is not reachable" },
  { NotRunReason::Draining, "draining", 503, "this process is stopping" },
  { NotRunReason::Quarantined,
    "quarantined",
    422,
    "copies of this request have crashed upstreams" },
  { NotRunReason::Unauthorized,
    "unauthorized",
    401,
    "no valid key came with the request" },
  { NotRunReason::RateLimited,
    "rate-limited",
    429,
    "the workspace is over its rate" },
  { NotRunReason::NoRoute, "no-route", 404, "no route matches" },
  { NotRunReason::Cancelled, "cancelled", 503, "the request was cancelled" },
  { NotRunReason::Malformed, "malformed", 400, "the request is malformed" },
  { NotRunReason::DuplicateInFlight,
    "duplicate-in-flight",
    409,
    "a request with the same idempotency key is under way" },
  { NotRunReason::ConfigUnconfirmed,
    "config-unconfirmed",
    503,
    "the configuration may have changed" },
} };

const ReasonText&
textOf(NotRunReason aReason)
{
  const auto it = std::find_if(
    kReasons.begin(), kReasons.end(), [aReason](const ReasonText& aText) {
      return aText.mReason == aReason;
    });
  return it == kReasons.end() ? kReasons.front() : *it;
}

/// Serializes the head of a response.
class HeadBuilder
{
public:
  explicit HeadBuilder(unsigned aStatus)
  {
    const boost::beast::string_view phrase =
      http::obsolete_reason(http::int_to_status(aStatus));
    mText = "HTTP/1.1 " + std::to_string(aStatus) + " ";
    mText.append(phrase.data(), phrase.size());
    mText += "\r\n";
  }

  void add(std::string_view aName, std::string_view aValue)
  {
    mText.append(aName).append(": ").append(aValue).append("\r\n");
  }

  std::string finish(RandomId aId, std::string_view aOutcome, bool aKeepAlive)
  {
    add("X-Radishroad-Request-Id", aId.toString());
    add("X-Radishroad-Outcome", aOutcome);
    add("Connection", aKeepAlive ? "keep-alive" : "close");
    mText += "\r\n";
    return std::move(mText);
  }

private:
  std::string mText;
};

/// Whether a field can be sent without breaking the framing of the response.
bool
isSafeField(const wire::HeaderT& aHeader)
{
  constexpr std::string_view kForbiddenBytes("\r\n\0", 3);
  return !aHeader.name.empty() &&
         aHeader.name.find_first_of(std::string_view("\r\n\0: \t", 6)) ==
           std::string::npos &&
         aHeader.value.find_first_of(kForbiddenBytes) == std::string::npos;
}

bool
isStatusWithoutBody(unsigned aStatus)
{
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// Whether the upstream's response is passed on.
bool
isForwarded(const Answer& aAnswer)
{
  return aAnswer.kind == AnswerKind::Answered &&
         aAnswer.status >= kFirstFinalStatus && aAnswer.status <= kLastStatus;
}

/// Content-Length of the upstream's response; empty if missing.
std::string_view
upstreamContentLength(const Answer& aAnswer)
{
  for (const auto& header : aAnswer.headers) {
    if (equalsIgnoringCase(header->name, "Content-Length")) {
      return header->value;
    }
  }
  return {};
}

void
addContentLength(HeadBuilder& aHead,
                 const Answer& aAnswer,
                 unsigned aStatus,
                 bool aIsHead)
{
  if (aIsHead || aStatus == kNotModified) {
    const std::string_view length = upstreamContentLength(aAnswer);
    const bool digits =
      !length.empty() &&
      length.find_first_not_of("0123456789") == std::string_view::npos;
    if (digits) {
      aHead.add("Content-Length", length);
    }
    return;
  }
  if (aAnswer.mStream && aAnswer.body_bytes >= 0) {
    aHead.add("Content-Length", std::to_string(aAnswer.body_bytes));
    return;
  }
  // A length would claim that the body is whole.
  if (aStatus != kNoContent && !aAnswer.ends_with_connection) {
    aHead.add("Content-Length", std::to_string(aAnswer.body.size()));
  }
}

Response
forwardAnswer(Answer aAnswer, RandomId aId, ResponseOptions aOptions)
{
  HeadBuilder head(aAnswer.status);
  HeaderFilter filter;
  for (const auto& header : aAnswer.headers) {
    if (equalsIgnoringCase(header->name, "Connection")) {
      filter.addConnectionField(header->value);
    }
  }
  for (const auto& header : aAnswer.headers) {
    if (isSafeField(*header) && filter.passes(header->name)) {
      head.add(header->name, header->value);
    }
  }
  addContentLength(head, aAnswer, aAnswer.status, aOptions.mIsHead);
  Response response;
  response.mEndsWithConnection = endsConnection(aAnswer, aOptions.mIsHead);
  response.mHead =
    head.finish(aId, outcomeName(AnswerKind::Answered), aOptions.mKeepAlive);
  if (!aOptions.mIsHead && !isStatusWithoutBody(aAnswer.status)) {
    response.mBody = std::move(aAnswer.body);
    response.mStream = std::move(aAnswer.mStream);
  }
  return response;
}

struct RefusalText
{
  unsigned mStatus;
  std::string_view mReason;
  std::string_view mOutcome;
  std::string_view mMessage;
  Millis mRetryAfter;
  /// Additional header fields.
  std::span<const std::unique_ptr<wire::HeaderT>> mHeaders;
};

/// Seconds with three decimals if aFractional, else whole seconds, rounded up.
std::string
retryAfterText(Millis aDelay, bool aFractional)
{
  if (!aFractional) {
    const std::int64_t seconds =
      (aDelay.mCount + kMillisPerSecond - 1) / kMillisPerSecond;
    return std::to_string(seconds);
  }
  const std::string millis = std::to_string(aDelay.mCount % kMillisPerSecond);
  return std::to_string(aDelay.mCount / kMillisPerSecond) + "." +
         std::string(3 - millis.size(), '0') + millis;
}

Response
writeRefusal(const RefusalText& aText, RandomId aId, ResponseOptions aOptions)
{
  const nlohmann::ordered_json json = { { "reason", aText.mReason },
                                        { "outcome", aText.mOutcome },
                                        { "message", aText.mMessage },
                                        { "request_id", aId.toString() } };
  const std::string body = json.dump() + "\n";
  HeadBuilder head(aText.mStatus);
  head.add("Content-Type", "application/json");
  head.add("Content-Length", std::to_string(body.size()));
  if (aText.mStatus == 401) {
    head.add("WWW-Authenticate", "Bearer");
  }
  if (aText.mRetryAfter.mCount > 0) {
    head.add("Retry-After",
             retryAfterText(aText.mRetryAfter, aOptions.mFractionalRetryAfter));
  }
  for (const auto& header : aText.mHeaders) {
    head.add(header->name, header->value);
  }
  Response response;
  response.mHead = head.finish(aId, aText.mOutcome, aOptions.mKeepAlive);
  if (!aOptions.mIsHead) {
    response.mBody.assign(body.begin(), body.end());
  }
  return response;
}

}

std::string_view
reasonName(NotRunReason aReason)
{
  return textOf(aReason).mName;
}

std::string_view
outcomeName(AnswerKind aKind)
{
  switch (aKind) {
    case AnswerKind::Answered:
      return "answered";
    case AnswerKind::NotRun:
      return "not-run";
    default:
      return "unknown";
  }
}

unsigned
statusOf(AnswerKind aKind, NotRunReason aReason)
{
  if (aKind == AnswerKind::NotRun) {
    return textOf(aReason).mStatus;
  }
  return aReason == NotRunReason::DeadlinePassed ? 504 : 502;
}

bool
endsConnection(const Answer& aAnswer, bool aIsHead)
{
  return aAnswer.ends_with_connection && !aIsHead && isForwarded(aAnswer) &&
         !isStatusWithoutBody(aAnswer.status);
}

Response
makeResponse(Answer aAnswer, RandomId aId, ResponseOptions aOptions)
{
  aOptions.mKeepAlive =
    aOptions.mKeepAlive && !endsConnection(aAnswer, aOptions.mIsHead);
  if (isForwarded(aAnswer)) {
    return forwardAnswer(std::move(aAnswer), aId, aOptions);
  }
  RefusalText text{ statusOf(aAnswer.kind, aAnswer.reason),
                    reasonName(aAnswer.reason),
                    outcomeName(aAnswer.kind),
                    textOf(aAnswer.reason).mMessage,
                    Millis{ aAnswer.retry_after_ms },
                    aAnswer.headers };
  const bool isRestrictedStatus = text.mStatus == 422 || text.mStatus == 409;
  if (aOptions.mRestrictStatuses && isRestrictedStatus) {
    text.mStatus = 503;
  }
  if (aAnswer.kind != AnswerKind::NotRun) {
    // This includes a response whose status cannot be forwarded: the request
    // was run, but its effect is unknown.
    text.mOutcome = outcomeName(AnswerKind::Unknown);
    text.mReason = aAnswer.reason == NotRunReason::None
                     ? std::string_view("unknown")
                     : text.mReason;
    text.mMessage = "it is not known whether the request was run";
  }
  return writeRefusal(text, aId, aOptions);
}

Response
makeRefusal(const Refusal& aRefusal, RandomId aId, bool aIsHead)
{
  return writeRefusal({ aRefusal.mStatus,
                        aRefusal.mReason,
                        outcomeName(AnswerKind::NotRun),
                        aRefusal.mMessage,
                        aRefusal.mRetryAfter,
                        {} },
                      aId,
                      { .mKeepAlive = false, .mIsHead = aIsHead });
}

}

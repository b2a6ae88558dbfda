#include "radishroad/log/log_client.h"

#include "radishroad/log/http_caller.h"
#include "radishroad/log/read_body.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

namespace {

constexpr long kStatusOk = 200;
constexpr long kStatusGone = 410;
constexpr long kStatusUnavailable = 503;
/// Upper bound of what one read asks for.
constexpr std::size_t kMaxReadBytes = 4U << 20;
/// Larger answers are refused: one record may pass kMaxReadBytes.
constexpr std::size_t kMaxAnswerBytes = kMaxReadBytes + 2 * kMaxRecordBytes;
constexpr const char* kOldestHeader = "X-Oldest-Offset";

Error
readError(const HttpAnswer& aAnswer)
{
  if (aAnswer.mTimedOut) {
    return { ErrorCode::Timeout, aAnswer.describe() };
  }
  if (aAnswer.mStatus == kStatusGone) {
    return { ErrorCode::Expired, "older than what the log keeps" };
  }
  return { ErrorCode::Unavailable, aAnswer.describe() };
}

Result<std::uint64_t>
parseOffset(const std::string& aBody)
{
  const nlohmann::json body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("offset") ||
      !body["offset"].is_number_unsigned()) {
    return fail(ErrorCode::Unknown, "append answered without an offset");
  }
  return body["offset"].get<std::uint64_t>();
}

}

struct LogClient::Impl
{
  explicit Impl(std::string aAddress)
    : mBase("http://" + std::move(aAddress) + "/v1/streams/")
    , mHttp(
        { .mMaxBodyBytes = kMaxAnswerBytes, .mWantedHeader = kOldestHeader })
  {
  }

  std::string url(std::string_view aStream) const
  {
    return mBase + mHttp.escape(aStream);
  }

  const std::string mBase;
  std::uint64_t mOldestSeen = 0;
  HttpCaller mHttp;
};

LogClient::LogClient(std::string aAddress)
  : mImpl(std::make_unique<Impl>(std::move(aAddress)))
{
}

LogClient::~LogClient() = default;

Result<std::uint64_t>
LogClient::append(std::string_view aStream,
                  std::span<const std::uint8_t> aData,
                  Millis aTimeout)
{
  if (aData.size() > kMaxRecordBytes) {
    return fail(ErrorCode::TooLarge, "record above 1 MiB");
  }
  const HttpAnswer answer =
    mImpl->mHttp.post(mImpl->url(aStream) + "/records", aData, aTimeout);
  if (answer.mStatus == kStatusUnavailable || answer.mNeverSent) {
    return fail(ErrorCode::Unavailable, answer.describe());
  }
  if (answer.mStatus != kStatusOk) {
    return fail(ErrorCode::Unknown, answer.describe());
  }
  return parseOffset(answer.mBody);
}

Result<std::vector<LogRecord>>
LogClient::read(std::string_view aStream,
                std::uint64_t aFrom,
                Millis aWait,
                Millis aTimeout)
{
  const std::string url = mImpl->url(aStream) +
                          "/records?from=" + std::to_string(aFrom) +
                          "&wait_ms=" + std::to_string(aWait.mCount) +
                          "&max_bytes=" + std::to_string(kMaxReadBytes);
  const HttpAnswer answer = mImpl->mHttp.get(url, aTimeout);
  if (answer.mStatus != kStatusOk) {
    return tl::unexpected<Error>(readError(answer));
  }
  mImpl->mOldestSeen =
    answer.mHeader ? std::strtoull(answer.mHeader->c_str(), nullptr, 10) : 0;
  return parseReadBody(answer.mBody, aFrom);
}

std::uint64_t
LogClient::oldestSeen() const
{
  return mImpl->mOldestSeen;
}

Result<LogClient::Bounds>
LogClient::bounds(std::string_view aStream, Millis aTimeout)
{
  const HttpAnswer answer = mImpl->mHttp.get(mImpl->url(aStream), aTimeout);
  if (answer.mStatus != kStatusOk) {
    return tl::unexpected<Error>(readError(answer));
  }
  const nlohmann::json body =
    nlohmann::json::parse(answer.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("oldest") ||
      !body["oldest"].is_number_unsigned() || !body.contains("next") ||
      !body["next"].is_number_unsigned()) {
    return fail(ErrorCode::Corrupt, "bounds answered without oldest and next");
  }
  return Bounds{ body["oldest"].get<std::uint64_t>(),
                 body["next"].get<std::uint64_t>() };
}

void
LogClient::abort()
{
  mImpl->mHttp.abort();
}

}

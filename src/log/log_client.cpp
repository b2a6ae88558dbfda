#include "radishroad/log/log_client.h"

#include "radishroad/base/json_text.h"
#include "radishroad/log/http_client.h"
#include "radishroad/log/read_body.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

namespace {

constexpr long kStatusOk = 200;
constexpr long kStatusGone = 410;
constexpr long kStatusUnavailable = 503;
/// Value of max_bytes in read requests.
constexpr std::size_t kMaxReadBytes = 4U << 20;
/// Limit of the response size, above kMaxReadBytes since a single record may
/// exceed that.
constexpr std::size_t kMaxResponseBytes = kMaxReadBytes + 2 * kMaxRecordBytes;
constexpr const char* kOldestHeader = "X-Oldest-Offset";

Error
toReadError(const HttpResponse& aResponse)
{
  if (aResponse.mTimedOut) {
    return { ErrorCode::Timeout, aResponse.describe() };
  }
  if (aResponse.mStatus == kStatusGone) {
    return { ErrorCode::Expired,
             "offset is older than the oldest record in the log" };
  }
  return { ErrorCode::Unavailable, aResponse.describe() };
}

Result<std::uint64_t>
parseOffset(const std::string& aBody)
{
  const Result<nlohmann::json> body = parseJson(aBody);
  if (!body || !body->is_object() || !body->contains("offset") ||
      !body->at("offset").is_number_unsigned()) {
    return fail(ErrorCode::Unknown, "append response has no offset");
  }
  return body->at("offset").get<std::uint64_t>();
}

}

struct LogClient::Impl
{
  explicit Impl(std::string aAddress)
    : mBaseUrl("http://" + std::move(aAddress) + "/v1/streams/")
    , mHttp({ .mMaxBodyBytes = kMaxResponseBytes,
              .mCapturedHeader = kOldestHeader })
  {
  }

  std::string url(std::string_view aStream) const
  {
    return mBaseUrl + mHttp.escape(aStream);
  }

  const std::string mBaseUrl;
  std::uint64_t mOldestOffset = 0;
  HttpClient mHttp;
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
    return fail(ErrorCode::TooLarge, "record is larger than 1 MiB");
  }
  const HttpResponse response =
    mImpl->mHttp.post(mImpl->url(aStream) + "/records", aData, aTimeout);
  if (response.mStatus == kStatusUnavailable || response.mNeverSent) {
    return fail(ErrorCode::Unavailable, response.describe());
  }
  if (response.mStatus != kStatusOk) {
    return fail(ErrorCode::Unknown, response.describe());
  }
  return parseOffset(response.mBody);
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
  const HttpResponse response = mImpl->mHttp.get(url, aTimeout);
  if (response.mStatus != kStatusOk) {
    return tl::unexpected<Error>(toReadError(response));
  }
  mImpl->mOldestOffset =
    response.mHeader ? std::strtoull(response.mHeader->c_str(), nullptr, 10)
                     : 0;
  return parseReadBody(response.mBody, aFrom);
}

std::uint64_t
LogClient::oldestOffset() const
{
  return mImpl->mOldestOffset;
}

Result<LogClient::Bounds>
LogClient::bounds(std::string_view aStream, Millis aTimeout)
{
  const HttpResponse response = mImpl->mHttp.get(mImpl->url(aStream), aTimeout);
  if (response.mStatus != kStatusOk) {
    return tl::unexpected<Error>(toReadError(response));
  }
  const Result<nlohmann::json> body = parseJson(response.mBody);
  if (!body || !body->is_object() || !body->contains("oldest") ||
      !body->at("oldest").is_number_unsigned() || !body->contains("next") ||
      !body->at("next").is_number_unsigned()) {
    return fail(ErrorCode::Corrupt, "bounds response lacks oldest or next");
  }
  return Bounds{ body->at("oldest").get<std::uint64_t>(),
                 body->at("next").get<std::uint64_t>() };
}

void
LogClient::abort()
{
  mImpl->mHttp.abort();
}

}

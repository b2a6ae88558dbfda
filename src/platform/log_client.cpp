#include "radishroad/platform/log_client.h"
#include "radishroad/platform/read_body.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

namespace {

constexpr long kStatusOk = 200;
constexpr long kStatusGone = 410;
constexpr long kStatusUnavailable = 503;
constexpr long kConnectTimeoutMs = 1000;
/// Upper bound of what one read asks for.
constexpr std::size_t kMaxReadBytes = 4U << 20;
/// Larger answers are refused: one record may pass kMaxReadBytes.
constexpr std::size_t kMaxAnswerBytes = kMaxReadBytes + 2 * kMaxRecordBytes;
constexpr int kPollSliceMs = 1000;

struct CurlGlobal
{
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlGlobal() { curl_global_cleanup(); }
};

void
initCurl()
{
  static const CurlGlobal sGlobal;
}

std::size_t
collectBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  std::string& body = *static_cast<std::string*>(aBody);
  const std::size_t n = aSize * aCount;
  if (body.size() + n > kMaxAnswerBytes) {
    return 0;
  }
  body.append(aData, n);
  return n;
}

constexpr const char* kOldestHeader = "X-Oldest-Offset";

struct HttpAnswer
{
  CURLcode mCode = CURLE_OK;
  long mStatus = 0;
  std::string mBody;
  bool mConnected = false;
  /// Of the header X-Oldest-Offset; 0 without one.
  std::uint64_t mOldest = 0;
};

std::uint64_t
readOldestHeader(CURL* aEasy)
{
  curl_header* header = nullptr;
  const CURLHcode code =
    curl_easy_header(aEasy, kOldestHeader, 0, CURLH_HEADER, -1, &header);
  return code == CURLHE_OK ? std::strtoull(header->value, nullptr, 10) : 0;
}

std::string
describe(const HttpAnswer& aAnswer)
{
  if (aAnswer.mCode != CURLE_OK) {
    return curl_easy_strerror(aAnswer.mCode);
  }
  return "status " + std::to_string(aAnswer.mStatus);
}

/// For a request on a connection of its own: there was none, so that nothing
/// of the request can have been sent.
bool
wasNeverSent(const HttpAnswer& aAnswer)
{
  return aAnswer.mCode != CURLE_OK && !aAnswer.mConnected;
}

Error
readError(const HttpAnswer& aAnswer)
{
  if (aAnswer.mCode == CURLE_OPERATION_TIMEDOUT ||
      aAnswer.mCode == CURLE_ABORTED_BY_CALLBACK) {
    return { ErrorCode::Timeout, describe(aAnswer) };
  }
  if (aAnswer.mCode == CURLE_OK && aAnswer.mStatus == kStatusGone) {
    return { ErrorCode::Expired, "older than what the log keeps" };
  }
  return { ErrorCode::Unavailable, describe(aAnswer) };
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
  {
    initCurl();
    mEasy = curl_easy_init();
    mMulti = curl_multi_init();
    mHeaders = curl_slist_append(nullptr, "Expect:");
    mHeaders =
      curl_slist_append(mHeaders, "Content-Type: application/octet-stream");
  }

  ~Impl()
  {
    curl_easy_cleanup(mEasy);
    curl_multi_cleanup(mMulti);
    curl_slist_free_all(mHeaders);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string url(std::string_view aStream) const
  {
    char* escaped =
      curl_easy_escape(mEasy, aStream.data(), static_cast<int>(aStream.size()));
    std::string text = mBase + escaped;
    curl_free(escaped);
    return text;
  }

  void prepare(const std::string& aUrl, Millis aTimeout, std::string& aBody)
  {
    curl_easy_reset(mEasy);
    curl_easy_setopt(mEasy, CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(mEasy, CURLOPT_PROXY, "");
    curl_easy_setopt(mEasy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    const long timeout = std::max<long>(1, aTimeout.mCount);
    curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, timeout);
    curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, collectBody);
    curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, &aBody);
  }

  /// The multi interface, since only it can be woken from another thread.
  CURLcode drive()
  {
    int running = 1;
    while (running > 0) {
      if (mAborted) {
        return CURLE_ABORTED_BY_CALLBACK;
      }
      if (curl_multi_perform(mMulti, &running) != CURLM_OK) {
        return CURLE_FAILED_INIT;
      }
      if (running > 0) {
        curl_multi_poll(mMulti, nullptr, 0, kPollSliceMs, nullptr);
      }
    }
    int left = 0;
    const CURLMsg* message = curl_multi_info_read(mMulti, &left);
    return message == nullptr ? CURLE_FAILED_INIT : message->data.result;
  }

  /// Runs the prepared request; aAnswer.mBody is its body's target.
  void run(HttpAnswer& aAnswer)
  {
    curl_multi_add_handle(mMulti, mEasy);
    aAnswer.mCode = drive();
    curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &aAnswer.mStatus);
    curl_off_t connectedAfter = 0;
    curl_easy_getinfo(mEasy, CURLINFO_CONNECT_TIME_T, &connectedAfter);
    aAnswer.mConnected = connectedAfter > 0;
    aAnswer.mOldest = readOldestHeader(mEasy);
    curl_multi_remove_handle(mMulti, mEasy);
  }

  HttpAnswer get(const std::string& aUrl, Millis aTimeout)
  {
    HttpAnswer answer;
    prepare(aUrl, aTimeout, answer.mBody);
    run(answer);
    return answer;
  }

  HttpAnswer post(const std::string& aUrl,
                  std::span<const std::uint8_t> aData,
                  Millis aTimeout)
  {
    HttpAnswer answer;
    prepare(aUrl, aTimeout, answer.mBody);
    curl_easy_setopt(mEasy, CURLOPT_HTTPHEADER, mHeaders);
    curl_easy_setopt(
      mEasy, CURLOPT_POSTFIELDSIZE, static_cast<long>(aData.size()));
    curl_easy_setopt(mEasy, CURLOPT_POSTFIELDS, aData.data());
    // On a connection used before, libcurl may send a request twice.
    curl_easy_setopt(mEasy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(mEasy, CURLOPT_FORBID_REUSE, 1L);
    run(answer);
    return answer;
  }

  std::string mBase;
  std::uint64_t mOldestSeen = 0;
  std::atomic<bool> mAborted{ false };
  CURL* mEasy = nullptr;
  CURLM* mMulti = nullptr;
  curl_slist* mHeaders = nullptr;
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
    mImpl->post(mImpl->url(aStream) + "/records", aData, aTimeout);
  const bool refused =
    answer.mCode == CURLE_OK && answer.mStatus == kStatusUnavailable;
  if (refused || wasNeverSent(answer)) {
    return fail(ErrorCode::Unavailable, describe(answer));
  }
  if (answer.mCode != CURLE_OK || answer.mStatus != kStatusOk) {
    return fail(ErrorCode::Unknown, describe(answer));
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
  const HttpAnswer answer = mImpl->get(url, aTimeout);
  if (answer.mCode != CURLE_OK || answer.mStatus != kStatusOk) {
    return tl::unexpected<Error>(readError(answer));
  }
  mImpl->mOldestSeen = answer.mOldest;
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
  const HttpAnswer answer = mImpl->get(mImpl->url(aStream), aTimeout);
  if (answer.mCode != CURLE_OK || answer.mStatus != kStatusOk) {
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
  mImpl->mAborted = true;
  curl_multi_wakeup(mImpl->mMulti);
}

}

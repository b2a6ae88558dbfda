#include "radishroad/log/http_client.h"

#include "radishroad/http/header_text.h"
#include "radishroad/http/response_head.h"

#include <algorithm>
#include <atomic>
#include <curl/curl.h>
#include <utility>

namespace radishroad {

namespace {

constexpr long kConnectTimeoutMs = 1000;
/// abort() wakes up a call in progress; this bounds the delay if the wake-up is
/// lost.
constexpr int kPollTimeoutMs = 5000;

/// The body of a success that ends with the connection is not accepted, since
/// it may be truncated. Of a failure the status is enough.
bool
isWhole(const ResponseHead& aHead, std::size_t aBodyBytes)
{
  constexpr int kFirstError = 400;
  return aHead.isWhole(aBodyBytes) &&
         (aHead.framing() != ResponseHead::Framing::ConnectionEnd ||
          aHead.status() >= kFirstError);
}

std::string
describeError(CURLcode aCode, const ResponseHead& aHead)
{
  if (!aHead.error().empty()) {
    return "malformed response: " + std::string(aHead.error());
  }
  if (aCode != CURLE_OK) {
    return curl_easy_strerror(aCode);
  }
  return aHead.ended() ? "response without length"
                       : "the connection ended in the response's head";
}

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

}

std::string
HttpResponse::describe() const
{
  return mError.empty() ? "status " + std::to_string(mStatus) : mError;
}

struct HttpClient::Impl
{
  explicit Impl(Options aOptions)
    : mOptions(std::move(aOptions))
  {
    initCurl();
    mEasy = curl_easy_init();
    mMulti = curl_multi_init();
    const std::string type = "Content-Type: " + mOptions.mContentType;
    mHeaders = curl_slist_append(nullptr, "Expect:");
    mHeaders = curl_slist_append(mHeaders, type.c_str());
  }

  ~Impl()
  {
    curl_easy_cleanup(mEasy);
    curl_multi_cleanup(mMulti);
    curl_slist_free_all(mHeaders);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  struct Body
  {
    std::string& mBuffer;
    std::size_t mMaxBytes;
  };

  static std::size_t appendBody(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aBody)
  {
    Body& body = *static_cast<Body*>(aBody);
    const std::size_t n = aSize * aCount;
    if (body.mBuffer.size() + n > body.mMaxBytes) {
      return 0;
    }
    body.mBuffer.append(aData, n);
    return n;
  }

  void configureRequest(const std::string& aUrl, Millis aTimeout)
  {
    curl_easy_reset(mEasy);
    curl_easy_setopt(mEasy, CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(mEasy, CURLOPT_PROXY, "");
    curl_easy_setopt(mEasy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    const long timeout = std::max<long>(1, aTimeout.mCount);
    curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, timeout);
    curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, &appendBody);
  }

  /// Uses the multi interface, as only that can be woken up from another
  /// thread.
  CURLcode perform()
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
        curl_multi_poll(mMulti, nullptr, 0, kPollTimeoutMs, nullptr);
      }
    }
    int messagesLeft = 0;
    const CURLMsg* message = curl_multi_info_read(mMulti, &messagesLeft);
    return message == nullptr ? CURLE_FAILED_INIT : message->data.result;
  }

  std::optional<std::string> capturedHeader(const ResponseHead& aHead) const
  {
    for (const wire::HeaderT& header : aHead.headers()) {
      if (sameHeaderName(header.name, mOptions.mCapturedHeader)) {
        return header.value;
      }
    }
    return std::nullopt;
  }

  HttpResponse run()
  {
    HttpResponse response;
    Body body{ response.mBody, mOptions.mMaxBodyBytes };
    ResponseHead head;
    curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(mEasy, CURLOPT_HEADERFUNCTION, &ResponseHead::addCurlLine);
    curl_easy_setopt(mEasy, CURLOPT_HEADERDATA, &head);
    curl_multi_add_handle(mMulti, mEasy);
    const CURLcode code = perform();
    if (code == CURLE_OK && isWhole(head, response.mBody.size())) {
      response.mStatus = head.status();
      response.mHeader = capturedHeader(head);
    } else {
      curl_off_t connectedAfter = 0;
      curl_easy_getinfo(mEasy, CURLINFO_CONNECT_TIME_T, &connectedAfter);
      response.mNeverSent = connectedAfter <= 0;
      response.mTimedOut =
        code == CURLE_OPERATION_TIMEDOUT || code == CURLE_ABORTED_BY_CALLBACK;
      response.mError = describeError(code, head);
    }
    curl_multi_remove_handle(mMulti, mEasy);
    return response;
  }

  const Options mOptions;
  std::atomic<bool> mAborted{ false };
  CURL* mEasy = nullptr;
  CURLM* mMulti = nullptr;
  curl_slist* mHeaders = nullptr;
};

HttpClient::HttpClient(Options aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpClient::~HttpClient() = default;

std::string
HttpClient::escape(std::string_view aText) const
{
  char* escaped = curl_easy_escape(
    mImpl->mEasy, aText.data(), static_cast<int>(aText.size()));
  std::string text(escaped);
  curl_free(escaped);
  return text;
}

HttpResponse
HttpClient::get(const std::string& aUrl, Millis aTimeout)
{
  mImpl->configureRequest(aUrl, aTimeout);
  return mImpl->run();
}

HttpResponse
HttpClient::post(const std::string& aUrl,
                 std::span<const std::uint8_t> aData,
                 Millis aTimeout)
{
  Impl& impl = *mImpl;
  impl.configureRequest(aUrl, aTimeout);
  curl_easy_setopt(impl.mEasy, CURLOPT_HTTPHEADER, impl.mHeaders);
  curl_easy_setopt(
    impl.mEasy, CURLOPT_POSTFIELDSIZE, static_cast<long>(aData.size()));
  curl_easy_setopt(impl.mEasy, CURLOPT_POSTFIELDS, aData.data());
  curl_easy_setopt(impl.mEasy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(impl.mEasy, CURLOPT_FORBID_REUSE, 1L);
  return impl.run();
}

void
HttpClient::abort()
{
  mImpl->mAborted = true;
  curl_multi_wakeup(mImpl->mMulti);
}

}

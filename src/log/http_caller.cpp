#include "radishroad/log/http_caller.h"

#include <algorithm>
#include <atomic>
#include <curl/curl.h>
#include <utility>

namespace radishroad {

namespace {

constexpr long kConnectTimeoutMs = 1000;
/// abort() wakes a call; this is for wake-ups that were lost.
constexpr int kPollSliceMs = 5000;

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
HttpAnswer::describe() const
{
  return mProblem.empty() ? "status " + std::to_string(mStatus) : mProblem;
}

struct HttpCaller::Impl
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
    std::string& mText;
    std::size_t mMost;
  };

  static std::size_t collect(char* aData,
                             std::size_t aSize,
                             std::size_t aCount,
                             void* aBody)
  {
    Body& body = *static_cast<Body*>(aBody);
    const std::size_t n = aSize * aCount;
    if (body.mText.size() + n > body.mMost) {
      return 0;
    }
    body.mText.append(aData, n);
    return n;
  }

  void prepare(const std::string& aUrl, Millis aTimeout)
  {
    curl_easy_reset(mEasy);
    curl_easy_setopt(mEasy, CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(mEasy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(mEasy, CURLOPT_PROXY, "");
    curl_easy_setopt(mEasy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    const long timeout = std::max<long>(1, aTimeout.mCount);
    curl_easy_setopt(mEasy, CURLOPT_TIMEOUT_MS, timeout);
    curl_easy_setopt(mEasy, CURLOPT_WRITEFUNCTION, &collect);
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

  std::optional<std::string> wantedHeader() const
  {
    curl_header* header = nullptr;
    if (mOptions.mWantedHeader.empty() ||
        curl_easy_header(mEasy,
                         mOptions.mWantedHeader.c_str(),
                         0,
                         CURLH_HEADER,
                         -1,
                         &header) != CURLHE_OK) {
      return std::nullopt;
    }
    return std::string(header->value);
  }

  HttpAnswer run()
  {
    HttpAnswer answer;
    Body body{ answer.mBody, mOptions.mMaxBodyBytes };
    curl_easy_setopt(mEasy, CURLOPT_WRITEDATA, &body);
    curl_multi_add_handle(mMulti, mEasy);
    const CURLcode code = drive();
    if (code == CURLE_OK) {
      curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &answer.mStatus);
      answer.mHeader = wantedHeader();
    } else {
      curl_off_t connectedAfter = 0;
      curl_easy_getinfo(mEasy, CURLINFO_CONNECT_TIME_T, &connectedAfter);
      answer.mNeverSent = connectedAfter <= 0;
      answer.mTimedOut =
        code == CURLE_OPERATION_TIMEDOUT || code == CURLE_ABORTED_BY_CALLBACK;
      answer.mProblem = curl_easy_strerror(code);
    }
    curl_multi_remove_handle(mMulti, mEasy);
    return answer;
  }

  const Options mOptions;
  std::atomic<bool> mAborted{ false };
  CURL* mEasy = nullptr;
  CURLM* mMulti = nullptr;
  curl_slist* mHeaders = nullptr;
};

HttpCaller::HttpCaller(Options aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

HttpCaller::~HttpCaller() = default;

std::string
HttpCaller::escape(std::string_view aText) const
{
  char* escaped = curl_easy_escape(
    mImpl->mEasy, aText.data(), static_cast<int>(aText.size()));
  std::string text(escaped);
  curl_free(escaped);
  return text;
}

HttpAnswer
HttpCaller::get(const std::string& aUrl, Millis aTimeout)
{
  mImpl->prepare(aUrl, aTimeout);
  return mImpl->run();
}

HttpAnswer
HttpCaller::post(const std::string& aUrl,
                 std::span<const std::uint8_t> aData,
                 Millis aTimeout)
{
  Impl& impl = *mImpl;
  impl.prepare(aUrl, aTimeout);
  curl_easy_setopt(impl.mEasy, CURLOPT_HTTPHEADER, impl.mHeaders);
  curl_easy_setopt(
    impl.mEasy, CURLOPT_POSTFIELDSIZE, static_cast<long>(aData.size()));
  curl_easy_setopt(impl.mEasy, CURLOPT_POSTFIELDS, aData.data());
  curl_easy_setopt(impl.mEasy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(impl.mEasy, CURLOPT_FORBID_REUSE, 1L);
  return impl.run();
}

void
HttpCaller::abort()
{
  mImpl->mAborted = true;
  curl_multi_wakeup(mImpl->mMulti);
}

}

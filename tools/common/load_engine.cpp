#include "common/load_engine.h"

#include "common/timer_fd.h"
#include "radishroad/http/response_head.h"

#include <curl/curl.h>
#include <string_view>

namespace radishroad::tools {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kIdlePollMs = 1000;

/// One request in progress.
struct Transfer
{
  LoadResult mResult;
  CURL* mEasy = nullptr;
  curl_slist* mHeaders = nullptr;
  bool mKeepBody = false;
  ResponseHead mHead;
  std::uint64_t mBodyBytes = 0;
};

std::size_t
onBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  Transfer& transfer = *static_cast<Transfer*>(aTransfer);
  transfer.mBodyBytes += aSize * aCount;
  if (transfer.mKeepBody) {
    transfer.mResult.mBody.append(aData, aSize * aCount);
  }
  return aSize * aCount;
}

std::string_view
trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \r\n";
  const std::size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

std::size_t
onHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  Transfer& transfer = *static_cast<Transfer*>(aTransfer);
  LoadResult& result = transfer.mResult;
  const std::string_view line(aData, aSize * aCount);
  if (!transfer.mHead.addLine(line)) {
    return 0;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return aSize * aCount;
  }
  const std::string name(line.substr(0, colon));
  const std::string value(trim(line.substr(colon + 1)));
  if (curl_strequal(name.c_str(), "X-Radishroad-Outcome")) {
    result.mOutcome = value;
  } else if (curl_strequal(name.c_str(), "X-Radishroad-Request-Id")) {
    result.mRequestId = value;
  } else if (curl_strequal(name.c_str(), "X-Upstream-Vm")) {
    result.mUpstreamVm = value;
  } else if (curl_strequal(name.c_str(), "X-Load-Tag")) {
    result.mTag = value;
  }
  return aSize * aCount;
}

}

struct LoadEngine::Impl
{
  explicit Impl(Options aOptions)
    : mOptions(aOptions)
    , mMulti(curl_multi_init())
  {
    curl_multi_setopt(mMulti,
                      CURLMOPT_MAXCONNECTS,
                      static_cast<long>(aOptions.mMaxConnections));
    if (aOptions.mLimitConnections) {
      curl_multi_setopt(mMulti,
                        CURLMOPT_MAX_TOTAL_CONNECTIONS,
                        static_cast<long>(aOptions.mMaxConnections));
    }
  }

  ~Impl()
  {
    for (CURL* easy : mIdle) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(mMulti);
  }

  void send(LoadRequest aRequest);
  void collect(const ResultFn& aOnResult);
  void finish(Transfer& aTransfer, CURLcode aCode);
  void wait(std::optional<LoadRequest::TimePoint> aUntil);

  Options mOptions;
  CURLM* mMulti;
  TimerFd mTimer;
  std::vector<CURL*> mIdle;
  std::size_t mRunning = 0;
};

LoadEngine::LoadEngine(Options aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

LoadEngine::~LoadEngine() = default;

void
LoadEngine::Impl::send(LoadRequest aRequest)
{
  auto* transfer = new Transfer;
  transfer->mResult.mRequest = std::move(aRequest);
  transfer->mKeepBody = mOptions.mKeepBodies;
  const LoadRequest& request = transfer->mResult.mRequest;
  if (mIdle.empty()) {
    transfer->mEasy = curl_easy_init();
  } else {
    transfer->mEasy = mIdle.back();
    mIdle.pop_back();
    curl_easy_reset(transfer->mEasy);
  }
  const std::string tag = "X-Load-Tag: " + std::to_string(request.mTag);
  transfer->mHeaders = curl_slist_append(nullptr, tag.c_str());
  // Removes curl's "Expect: 100-continue", with which curl waits for a response
  // of the server before it sends a body.
  transfer->mHeaders = curl_slist_append(transfer->mHeaders, "Expect:");
  for (const std::string& header : request.mHeaders) {
    transfer->mHeaders = curl_slist_append(transfer->mHeaders, header.c_str());
  }
  CURL* easy = transfer->mEasy;
  curl_easy_setopt(easy, CURLOPT_URL, request.mUrl.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->mHeaders);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.mTimeout.mCount));
  if (request.mMethod != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.mMethod.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.mBody.data());
    curl_easy_setopt(
      easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.mBody.size()));
  }
  curl_multi_add_handle(mMulti, easy);
  ++mRunning;
}

void
LoadEngine::Impl::finish(Transfer& aTransfer, CURLcode aCode)
{
  LoadResult& result = aTransfer.mResult;
  const std::chrono::duration<double, std::milli> latency =
    Clock::now() - result.mRequest.mSendAt;
  result.mLatencyMs = latency.count();
  result.mEndedWallMs = wallNow().mCount;
  if (aCode != CURLE_OK) {
    result.mError = curl_easy_strerror(aCode);
  } else if (aTransfer.mHead.isWhole(aTransfer.mBodyBytes)) {
    result.mStatus = aTransfer.mHead.status();
  } else {
    result.mError = "incomplete response";
  }
  curl_multi_remove_handle(mMulti, aTransfer.mEasy);
  curl_slist_free_all(aTransfer.mHeaders);
  mIdle.push_back(aTransfer.mEasy);
  --mRunning;
}

void
LoadEngine::Impl::collect(const ResultFn& aOnResult)
{
  int running = 0;
  curl_multi_perform(mMulti, &running);
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    const std::unique_ptr<Transfer> owned(transfer);
    finish(*owned, code);
    aOnResult(std::move(owned->mResult));
  }
}

void
LoadEngine::Impl::wait(std::optional<LoadRequest::TimePoint> aUntil)
{
  if (aUntil) {
    mTimer.arm(*aUntil);
  } else {
    mTimer.disarm();
  }
  curl_waitfd timer{};
  timer.fd = mTimer.descriptor();
  timer.events = CURL_WAIT_POLLIN;
  curl_multi_poll(mMulti, &timer, 1, kIdlePollMs, nullptr);
}

void
LoadEngine::run(const SourceFn& aSource, const ResultFn& aOnResult)
{
  std::optional<LoadRequest> next = aSource();
  while (next || mImpl->mRunning > 0) {
    while (next && next->mSendAt <= Clock::now()) {
      mImpl->send(std::move(*next));
      next = aSource();
    }
    mImpl->collect(aOnResult);
    if (next) {
      mImpl->wait(next->mSendAt);
    } else if (mImpl->mRunning > 0) {
      mImpl->wait(std::nullopt);
    }
  }
}

}

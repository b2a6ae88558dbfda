#include "radishroad/upstream/exchange.h"

#include "radishroad/http/header_text.h"
#include "radishroad/upstream/connection_counter.h"

#include <algorithm>
#include <cerrno>

namespace radishroad {

namespace {

constexpr Millis kSecond{ 1000 };
/// Once paused, a transfer goes on when one write of libcurl fits.
constexpr std::size_t kMaxWriteBytes = CURL_MAX_WRITE_SIZE;
/// Host name of requests with UpstreamRequest::mUsesOwnPool; never looked up.
constexpr const char* kOwnPoolHost = "probe.invalid";

/// Methods that are sent with a Content-Length even if the body is empty.
bool
expectsBody(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

}

std::string_view
UpstreamResponse::header(std::string_view aName) const
{
  const auto it =
    std::ranges::find_if(mHeaders, [aName](const wire::HeaderT& aHeader) {
      return sameHeaderName(aHeader.name, aName);
    });
  return it == mHeaders.end() ? std::string_view{} : it->value;
}

Exchange::Exchange(const UpstreamRequest& aRequest,
                   MaySendFn aMaySend,
                   ConnectionCounter& aConnections)
  : mPurpose(aRequest.mPurpose)
  , mMaySend(std::move(aMaySend))
  , mMayUseConnection(aRequest.mMayUseConnection)
  , mConnections(aConnections)
  , mMaxBodyBytes(aRequest.mMaxBodyBytes)
  , mEchoHeader(aRequest.mEchoHeader)
  , mEchoValue(aRequest.mEchoValue)
  , mIsPossibleResponse(aRequest.mIsPossibleResponse)
  , mAcceptsUnframedBody(aRequest.mAcceptsUnframedBody)
  , mIsHead(aRequest.mMethod == "HEAD")
  , mHead(mIsHead)
  , mStream(aRequest.mStream)
  , mHandle(curl_easy_init())
{
  mResponse.mBodyShare = BodyShare(aRequest.mBodyMemory);
  setRequest(aRequest);
  setCallbacks(aConnections);
}

Exchange::~Exchange() = default;

CURL*
Exchange::handle() const
{
  return mHandle.get();
}

bool
Exchange::sent() const
{
  return mSent;
}

bool
Exchange::needsNewConnection() const
{
  return mHadUnexpectedInput && mConnectionReused;
}

void
Exchange::useNewConnection()
{
  mHadUnexpectedInput = false;
  mConnection = 0;
  curl_easy_setopt(mHandle.get(), CURLOPT_FRESH_CONNECT, 1L);
}

UpstreamResponse&
Exchange::response()
{
  mResponse.mEndsWithConnection = endsWithConnection();
  mResponse.mConnection = mConnection;
  return mResponse;
}

void
Exchange::setTarget(const UpstreamRequest& aRequest)
{
  CURL* easy = mHandle.get();
  if (!aRequest.mUsesOwnPool) {
    const std::string url = "http://" + aRequest.mUpstream + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    return;
  }
  // libcurl reuses a connection only for the host name that it was opened for.
  const std::string url = std::string("http://") + kOwnPoolHost + "/";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  mConnectTo.reset(
    curl_slist_append(nullptr, ("::" + aRequest.mUpstream).c_str()));
  curl_easy_setopt(easy, CURLOPT_CONNECT_TO, mConnectTo.get());
}

void
Exchange::setRequest(const UpstreamRequest& aRequest)
{
  CURL* easy = mHandle.get();
  setTarget(aRequest);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  // Ignores proxy settings from the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
    easy, CURLOPT_FRESH_CONNECT, aRequest.mNeedsFreshConnection ? 1L : 0L);
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.mTimeout.mCount));
  curl_easy_setopt(
    easy,
    CURLOPT_MAXAGE_CONN,
    static_cast<long>(aRequest.mMaxIdle.mCount / kSecond.mCount));

  if (!aRequest.mBody.empty() || expectsBody(aRequest.mMethod)) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aRequest.mBody.size()));
    // With a null pointer libcurl would read the body from a callback.
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDS,
                     aRequest.mBody.empty() ? static_cast<const void*>("")
                                            : aRequest.mBody.data());
  }
  if (mIsHead) {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, aRequest.mTarget.c_str());

  curl_slist* lines = nullptr;
  for (const std::string& line : aRequest.mHeaderLines) {
    lines = curl_slist_append(lines, line.c_str());
  }
  if (aRequest.mUsesOwnPool) {
    lines = curl_slist_append(lines, ("Host: " + aRequest.mUpstream).c_str());
  }
  mHeaderList.reset(lines);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
}

void
Exchange::setCallbacks(ConnectionCounter& aConnections)
{
  CURL* easy = mHandle.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onPreRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  aConnections.attach(easy);
}

int
Exchange::onPreRequest(void* aSelf, char*, char*, int, int aLocalPort)
{
  auto* self = static_cast<Exchange*>(aSelf);
  // A second call is a retry by libcurl; the first request may have run.
  if (self->mSent) {
    return CURL_PREREQFUNC_ABORT;
  }
  long opened = 0;
  curl_easy_getinfo(self->mHandle.get(), CURLINFO_NUM_CONNECTS, &opened);
  self->mConnectionReused = opened == 0;
  self->mConnection = self->mConnections.idAt(aLocalPort);
  if (self->mConnectTo) {
    self->mConnections.setOwnPool(aLocalPort);
  }
  // libcurl reuses connections that have input. An abort closes them.
  self->mHadUnexpectedInput = self->mConnections.isReadable(aLocalPort);
  const bool mayUse =
    !self->mHadUnexpectedInput &&
    (!self->mMayUseConnection || self->mMayUseConnection(self->mConnection));
  if (!mayUse || !self->mMaySend()) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->mSent = true;
  return CURL_PREREQFUNC_OK;
}

bool
Exchange::onHeadEnd()
{
  mResponse.mStatus = mHead.status();
  mResponse.mHeaders = std::move(mHead.headers());
  mTooLarge = mHead.framing() == ResponseHead::Framing::Length &&
              mHead.length() > mMaxBodyBytes;
  return !mTooLarge && hasExpectedEcho();
}

std::size_t
Exchange::onHeader(char* aData,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  const std::size_t n = aSize * aCount;
  const bool hadEnded = self->mHead.ended();
  if (!self->mHead.addLine({ aData, n })) {
    return 0;
  }
  const bool isEnd = !hadEnded && self->mHead.ended();
  return isEnd && !self->onHeadEnd() ? 0 : n;
}

std::size_t
Exchange::onBody(char* aData,
                 std::size_t aSize,
                 std::size_t aCount,
                 void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  const std::size_t n = aSize * aCount;
  if (self->mBodyBytes + n > self->mMaxBodyBytes) {
    self->mTooLarge = true;
    return 0;
  }
  if (self->mWindow) {
    return self->onStreamedBytes(
      { reinterpret_cast<const std::uint8_t*>(aData), n });
  }
  std::vector<std::uint8_t>& body = self->mResponse.mBody;
  if (!self->mResponse.mBodyShare.tryResize(body.size() + n)) {
    self->mOutOfMemory = true;
    return 0;
  }
  body.insert(body.end(), aData, aData + n);
  self->mBodyBytes += n;
  if (self->mayStream()) {
    self->startStream();
  }
  return n;
}

bool
Exchange::mayStream() const
{
  if (!mStream) {
    return false;
  }
  const bool hasLength = mHead.framing() == ResponseHead::Framing::Length;
  const bool isFramed =
    hasLength || mHead.framing() == ResponseHead::Framing::Chunked;
  const std::uint64_t known = hasLength ? mHead.length() : mBodyBytes;
  return isFramed && known > mStream->mThresholdBytes &&
         (!mStream->mMayStream || mStream->mMayStream(mResponse));
}

void
Exchange::startStream()
{
  const bool hasLength = mHead.framing() == ResponseHead::Framing::Length;
  // The head stays here too, for the checks at the end.
  UpstreamResponse first;
  first.mStatus = mResponse.mStatus;
  first.mHeaders = mResponse.mHeaders;
  first.mBody = std::move(mResponse.mBody);
  first.mBodyShare = std::move(mResponse.mBodyShare);
  mResponse.mBody = {};
  mWindow.emplace(mStream->mWindow);
  mWindow->onSent(mBodyBytes, mStream->mNow());
  mStream->mOnStart(std::move(first),
                    hasLength ? static_cast<std::int64_t>(mHead.length()) : -1);
}

std::size_t
Exchange::onStreamedBytes(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() > mWindow->sendable()) {
    mIsPaused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!mStream->mOnPart(aBytes)) {
    mOutOfMemory = true;
    return 0;
  }
  mBodyBytes += aBytes.size();
  mWindow->onSent(aBytes.size(), mStream->mNow());
  return aBytes.size();
}

bool
Exchange::onTaken(std::size_t aBytes, Millis aNow)
{
  return mWindow && mWindow->onTaken(aBytes, aNow) && mIsPaused &&
         mWindow->sendable() >= kMaxWriteBytes;
}

void
Exchange::resume()
{
  mIsPaused = false;
  curl_easy_pause(mHandle.get(), CURLPAUSE_CONT);
}

bool
Exchange::isStalled(Millis aNow) const
{
  return mWindow && mWindow->isStalled(aNow);
}

bool
Exchange::hasExpectedEcho() const
{
  const auto names = [this](const wire::HeaderT& aHeader) {
    return sameHeaderName(aHeader.name, mEchoHeader);
  };
  const auto differs = [&](const wire::HeaderT& aHeader) {
    return names(aHeader) && aHeader.value != mEchoValue;
  };
  // A request without an id gets a response without one.
  const bool isNamed = mEchoHeader.empty() || mEchoValue.empty() ||
                       std::ranges::any_of(mResponse.mHeaders, names);
  const bool isEchoed =
    isNamed && std::ranges::none_of(mResponse.mHeaders, differs);
  return isEchoed && (!mIsPossibleResponse || mIsPossibleResponse(mResponse));
}

bool
Exchange::endsWithConnection() const
{
  return mHead.framing() == ResponseHead::Framing::ConnectionEnd;
}

bool
Exchange::isConnectionRefused(CURLcode aCode) const
{
  // CURLE_COULDNT_CONNECT also occurs when this machine runs out of sockets.
  long error = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_OS_ERRNO, &error);
  return aCode == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

ResponseTrace::End
Exchange::endOf(CURLcode aCode) const
{
  using End = ResponseTrace::End;
  if (!mSent) {
    return End::None;
  }
  if (mTooLarge || mHead.bytes() > ResponseHead::kMaxBytes) {
    return End::TooLarge;
  }
  if (mOutOfMemory) {
    return End::NoMemory;
  }
  if (!mHead.error().empty()) {
    return End::Malformed;
  }
  if (mHead.ended() && !hasExpectedEcho()) {
    return End::OtherRequest;
  }
  const End early = mHead.ended() ? End::InBody : End::InHead;
  long error = 0;
  switch (aCode) {
    case CURLE_OK:
      if (mHead.isWhole(mBodyBytes)) {
        return mAcceptsUnframedBody || !endsWithConnection() ? End::Whole
                                                             : End::Unframed;
      }
      return mHead.bytes() == 0 ? End::BeforeHead : early;
    case CURLE_PARTIAL_FILE:
      return early;
    case CURLE_GOT_NOTHING:
    case CURLE_ABORTED_BY_CALLBACK:
      return End::BeforeHead;
    case CURLE_OPERATION_TIMEDOUT:
      return End::TimedOut;
    case CURLE_COULDNT_CONNECT:
    case CURLE_SEND_ERROR:
      return End::Failed;
    case CURLE_RECV_ERROR:
      // libcurl gives this code for invalid chunks too, without a system error.
      curl_easy_getinfo(mHandle.get(), CURLINFO_OS_ERRNO, &error);
      return error == 0 ? End::Malformed : End::Failed;
    default:
      // libcurl rejects what it has read.
      return End::Malformed;
  }
}

ResponseTrace
Exchange::trace(CURLcode aCode) const
{
  ResponseTrace trace;
  trace.mEnd = endOf(aCode);
  trace.mFraming = mHead.framing();
  trace.mBodyBytes = mBodyBytes;
  trace.mError = mHead.error();
  trace.mConnectionReused = mConnectionReused;
  return trace;
}

ExchangeOutcome
Exchange::outcome(CURLcode aCode) const
{
  if (!mSent) {
    return isConnectionRefused(aCode) ? ExchangeOutcome::ConnectionRefused
                                      : ExchangeOutcome::NotSent;
  }
  return endOf(aCode) == ResponseTrace::End::Whole
           ? ExchangeOutcome::Complete
           : ExchangeOutcome::Incomplete;
}

}

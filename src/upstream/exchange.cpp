#include "radishroad/upstream/exchange.h"

#include "radishroad/upstream/connection_counter.h"
#include "radishroad/upstream/header_text.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace radishroad {

namespace {

constexpr std::size_t kMaxHeaderBytes = 64U << 10;
constexpr Millis kSecond{ 1000 };

/// Status code of a line such as "HTTP/1.1 200 OK"; 0 if it is not a status
/// line.
int
statusOf(std::string_view aLine)
{
  const std::size_t blank = aLine.find(' ');
  if (!aLine.starts_with("HTTP/") || blank == std::string_view::npos) {
    return 0;
  }
  const std::string_view rest = aLine.substr(blank + 1);
  int status = 0;
  std::from_chars(rest.data(), rest.data() + rest.size(), status);
  return status;
}

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
  : mMaySend(std::move(aMaySend))
  , mMaxBodyBytes(aRequest.mMaxBodyBytes)
  , mEchoHeader(aRequest.mEchoHeader)
  , mEchoValue(aRequest.mEchoValue)
  , mIsPossibleResponse(aRequest.mIsPossibleResponse)
  , mAcceptsUnframedBody(aRequest.mAcceptsUnframedBody)
  , mIsHead(aRequest.mMethod == "HEAD")
  , mHandle(curl_easy_init())
{
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

UpstreamResponse&
Exchange::response()
{
  return mResponse;
}

void
Exchange::setRequest(const UpstreamRequest& aRequest)
{
  CURL* easy = mHandle.get();
  const std::string url = "http://" + aRequest.mUpstream + "/";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
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
Exchange::onPreRequest(void* aSelf, char*, char*, int, int)
{
  auto* self = static_cast<Exchange*>(aSelf);
  // A second call is a retry by libcurl; the first request may have run.
  if (self->mSent || !self->mMaySend()) {
    return CURL_PREREQFUNC_ABORT;
  }
  self->mSent = true;
  return CURL_PREREQFUNC_OK;
}

void
Exchange::onHeaderLine(std::string_view aLine)
{
  const int status = statusOf(aLine);
  if (status != 0) {
    // A status line after an interim response (1xx) starts a new response.
    mResponse.mStatus = status;
    mResponse.mHeaders.clear();
    return;
  }
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  wire::HeaderT header;
  header.name = aLine.substr(0, colon);
  header.value = trimWhitespace(aLine.substr(colon + 1));
  mResponse.mHeaders.push_back(std::move(header));
}

std::size_t
Exchange::onHeader(char* aData,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  const std::size_t n = aSize * aCount;
  self->mHeaderBytes += n;
  if (self->mHeaderBytes > kMaxHeaderBytes) {
    return 0;
  }
  const std::string_view line(aData, n);
  self->onHeaderLine(line);
  const bool isEnd = trimWhitespace(line).empty();
  return isEnd && !self->hasExpectedEcho() ? 0 : n;
}

std::size_t
Exchange::onBody(char* aData,
                 std::size_t aSize,
                 std::size_t aCount,
                 void* aSelf)
{
  auto* self = static_cast<Exchange*>(aSelf);
  const std::size_t n = aSize * aCount;
  std::vector<std::uint8_t>& body = self->mResponse.mBody;
  if (body.size() + n > self->mMaxBodyBytes) {
    return 0;
  }
  body.insert(body.end(), aData, aData + n);
  return n;
}

bool
Exchange::hasExpectedEcho() const
{
  if (mResponse.mStatus < 200) {
    return true;
  }
  const bool isEchoed =
    mEchoHeader.empty() || mResponse.header(mEchoHeader) == mEchoValue;
  return isEchoed && (!mIsPossibleResponse || mIsPossibleResponse(mResponse));
}

bool
Exchange::isFramed() const
{
  // A body without a length or chunked encoding ends with the connection, so
  // that a truncated body cannot be distinguished from a complete one.
  const bool bodyless =
    mIsHead || mResponse.mStatus == 204 || mResponse.mStatus == 304;
  return bodyless || mAcceptsUnframedBody ||
         !mResponse.header("content-length").empty() ||
         listContains(mResponse.header("transfer-encoding"), "chunked");
}

bool
Exchange::isConnectionRefused(CURLcode aCode) const
{
  // CURLE_COULDNT_CONNECT also occurs when this machine runs out of sockets.
  long error = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_OS_ERRNO, &error);
  return aCode == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

ExchangeOutcome
Exchange::outcome(CURLcode aCode) const
{
  if (!mSent) {
    return isConnectionRefused(aCode) ? ExchangeOutcome::ConnectionRefused
                                      : ExchangeOutcome::NotSent;
  }
  const bool isComplete =
    aCode == CURLE_OK && mResponse.mStatus >= 200 && isFramed();
  return isComplete ? ExchangeOutcome::Complete : ExchangeOutcome::Incomplete;
}

}

#ifndef RADISHROAD_UPSTREAM_EXCHANGE_H
#define RADISHROAD_UPSTREAM_EXCHANGE_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

#include <cstddef>
#include <cstdint>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

class ConnectionCounter;

struct UpstreamResponse;

/// The request of one HTTP exchange with the upstream.
struct UpstreamRequest
{
  /// "host:port".
  std::string mUpstream;
  std::string mMethod;
  /// Path and query, sent unchanged.
  std::string mTarget;
  /// "Name: value" lines.
  std::vector<std::string> mHeaderLines;
  /// Not copied; must outlive the exchange.
  std::span<const std::uint8_t> mBody;
  Millis mTimeout;
  /// A pooled connection that has been idle for longer is not reused.
  Millis mMaxIdle;
  std::size_t mMaxBodyBytes = 0;
  /// Opens a connection instead of reusing a pooled one, on which a copy of an
  /// earlier response may arrive.
  bool mNeedsFreshConnection = false;
  /// Response header that must hold mEchoValue. A response with another value
  /// belongs to another request, and its connection is closed. Empty: no check.
  std::string mEchoHeader;
  std::string mEchoValue;
  /// Whether a response can be the one to this request, by its status and
  /// headers; otherwise as with mEchoHeader. Without side effects; may be
  /// empty.
  std::function<bool(const UpstreamResponse&)> mIsPossibleResponse;
  /// Accepts a body without a length or chunked encoding, which ends when the
  /// connection is closed, as complete.
  bool mAcceptsUnframedBody = false;
};

struct UpstreamResponse
{
  int mStatus = 0;
  std::vector<wire::HeaderT> mHeaders;
  std::vector<std::uint8_t> mBody;

  /// Value of the first header with this name; empty if there is none.
  std::string_view header(std::string_view aName) const;
};

enum class ExchangeOutcome
{
  /// The response was received completely.
  Complete,
  /// No byte of the request was written, so it certainly was not run.
  NotSent,
  /// As NotSent, and the upstream's port refuses connections: no process
  /// listens on it.
  ConnectionRefused,
  /// The request may have been run, but no complete response was received.
  Incomplete,
};

/// One HTTP exchange with the upstream on a curl easy handle. The request is
/// written at most once: libcurl resends a request when a reused connection is
/// closed before the first byte of the response, and Exchange blocks that
/// retry.
class Exchange
{
public:
  /// Called when the connection is established and the request is about to be
  /// written; false cancels the exchange.
  using MaySendFn = std::function<bool()>;

  Exchange(const UpstreamRequest& aRequest,
           MaySendFn aMaySend,
           ConnectionCounter& aConnections);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// For adding to a multi handle; valid as long as this object.
  CURL* handle() const;
  /// True once the first byte of the request may have been written.
  bool sent() const;
  ExchangeOutcome outcome(CURLcode aCode) const;
  UpstreamResponse& response();

private:
  void setRequest(const UpstreamRequest& aRequest);
  void setCallbacks(ConnectionCounter& aConnections);
  bool isFramed() const;
  /// Checked at the end of the headers: a final response repeats the expected
  /// echo value and can be the one to this request.
  bool hasExpectedEcho() const;
  bool isConnectionRefused(CURLcode aCode) const;
  void onHeaderLine(std::string_view aLine);

  static int onPreRequest(void* aSelf, char*, char*, int, int);
  static std::size_t onHeader(char*, std::size_t, std::size_t, void* aSelf);
  static std::size_t onBody(char*, std::size_t, std::size_t, void* aSelf);

  struct EasyDeleter
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  struct ListDeleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  MaySendFn mMaySend;
  std::size_t mMaxBodyBytes;
  std::string mEchoHeader;
  std::string mEchoValue;
  std::function<bool(const UpstreamResponse&)> mIsPossibleResponse;
  bool mAcceptsUnframedBody;
  bool mIsHead;
  bool mSent = false;
  std::size_t mHeaderBytes = 0;
  UpstreamResponse mResponse;
  std::unique_ptr<curl_slist, ListDeleter> mHeaderList;
  std::unique_ptr<CURL, EasyDeleter> mHandle;
};

}

#endif

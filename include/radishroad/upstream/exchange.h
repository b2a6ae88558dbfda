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

/// What is sent to the upstream in one exchange.
struct UpstreamRequest
{
  /// "host:port".
  std::string mUpstream;
  std::string mMethod;
  /// Path and query, sent as it is.
  std::string mTarget;
  /// "Name: value" lines.
  std::vector<std::string> mHeaderLines;
  /// Must outlive the exchange.
  std::span<const std::uint8_t> mBody;
  Millis mTimeout;
  /// A connection that has been idle for longer is not used again.
  Millis mMaxIdle;
  std::size_t mMaxBodyBytes = 0;
  /// A response whose header of this name has another value belongs to another
  /// request, and its connection is closed. Not looked at if empty.
  std::string mEchoHeader;
  std::string mEchoValue;
  /// A response without a length ends whole with its connection.
  bool mAcceptsUnframedBody = false;
};

struct UpstreamResponse
{
  int mStatus = 0;
  std::vector<wire::HeaderT> mHeaders;
  std::vector<std::uint8_t> mBody;

  /// Value of the first header of this name; empty if there is none.
  std::string_view header(std::string_view aName) const;
};

/// How an exchange ended.
enum class ExchangeOutcome
{
  /// The whole response is there.
  Complete,
  /// No byte of the request was written: proven not run.
  NotSent,
  /// NotSent, and the upstream's port refuses connections: nobody is there.
  ConnectionRefused,
  /// The request may have run; there is no whole response.
  Incomplete,
};

/// One HTTP exchange with the upstream on a curl easy handle. The request is
/// written at most once: libcurl sends a request again by itself when a reused
/// connection dies before the first byte of the response, and that second
/// sending is refused here.
class Exchange
{
public:
  /// Asked when the connection stands and the request is about to be written;
  /// false gives the exchange up.
  using MaySendFn = std::function<bool()>;

  Exchange(const UpstreamRequest& aRequest,
           MaySendFn aMaySend,
           ConnectionCounter& aConnections);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Valid while this lives; to be added to a multi handle.
  CURL* handle() const;
  /// True from the moment at which the request's first byte may be written.
  bool sent() const;
  ExchangeOutcome outcome(CURLcode aCode) const;
  UpstreamResponse& response();

private:
  void setRequest(const UpstreamRequest& aRequest);
  void setCallbacks(ConnectionCounter& aConnections);
  bool isFramed() const;
  /// At the end of a final response's headers: is it the request's own?
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

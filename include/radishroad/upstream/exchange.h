#ifndef RADISHROAD_UPSTREAM_EXCHANGE_H
#define RADISHROAD_UPSTREAM_EXCHANGE_H

#include "radishroad/base/body_share.h"
#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/http/response_head.h"
#include "radishroad/upstream/connection_id.h"
#include "radishroad/upstream/response_stream_hooks.h"
#include "radishroad/upstream/response_trace.h"

#include <cstddef>
#include <cstdint>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <optional>
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
  /// What it is for, in logs and metrics; not copied.
  std::string_view mPurpose;
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
  /// The response's body is counted there; may be null.
  std::shared_ptr<BodyMemory> mBodyMemory;
  /// Opens a connection instead of reusing a pooled one, on which a copy of an
  /// earlier response may arrive.
  bool mNeedsFreshConnection = false;
  /// Uses a connection apart from the pool that other requests share, so that
  /// none of them can occupy or end it.
  bool mUsesOwnPool = false;
  /// Whether the request may be written to this connection; otherwise it is not
  /// sent and the connection is closed. May be empty.
  std::function<bool(ConnectionId)> mMayUseConnection;
  /// Response header that must hold mEchoValue. A response with another value
  /// belongs to another request, and its connection is closed. Empty: no check.
  std::string mEchoHeader;
  std::string mEchoValue;
  /// Whether a response can be the one to this request, by its status and
  /// headers; otherwise as with mEchoHeader. Without side effects; may be
  /// empty.
  std::function<bool(const UpstreamResponse&)> mIsPossibleResponse;
  /// Accepts a body without a length or chunked encoding, which ends when the
  /// connection is closed in order. UpstreamResponse::mEndsWithConnection marks
  /// it.
  bool mAcceptsUnframedBody = false;
  /// If set, a body above its threshold that has a length or chunked encoding
  /// is passed on while it is received.
  std::optional<ResponseStreamHooks> mStream;
};

struct UpstreamResponse
{
  int mStatus = 0;
  std::vector<wire::HeaderT> mHeaders;
  std::vector<std::uint8_t> mBody;
  BodyShare mBodyShare;
  /// The body has no length or chunked encoding: it ended when the upstream
  /// closed the connection, so that nobody knows whether it is whole.
  bool mEndsWithConnection = false;
  /// Connection that carried it.
  ConnectionId mConnection = 0;
  ResponseTrace mTrace;

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
/// retry. It is not written to a connection that has input, which cannot be the
/// response.
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
  std::string_view purpose() const { return mPurpose; }
  /// Connection that carries the exchange; 0 as long as there is none.
  ConnectionId connection() const { return mConnection; }
  /// After an end without sent(): whether the pooled connection was rejected
  /// because it had input or had ended, so that a new connection may succeed.
  bool needsNewConnection() const;
  /// Has the next transfer of the handle use a new connection.
  void useNewConnection();
  ExchangeOutcome outcome(CURLcode aCode) const;
  ResponseTrace trace(CURLcode aCode) const;
  UpstreamResponse& response();
  /// The reader has taken aBytes of the streamed body. Returns whether
  /// resume() must be called, outside of libcurl's callbacks.
  bool onTaken(std::size_t aBytes, Millis aNow);
  void resume();
  /// The reader of the streamed body takes too little; see StreamWindow.
  bool isStalled(Millis aNow) const;

private:
  void setRequest(const UpstreamRequest& aRequest);
  void setTarget(const UpstreamRequest& aRequest);
  void setCallbacks(ConnectionCounter& aConnections);
  /// The body has no length or chunked encoding: it ends with the connection.
  bool endsWithConnection() const;
  ResponseTrace::End endOf(CURLcode aCode) const;
  /// The final head repeats the expected echo value, and the response can be
  /// the one to this request.
  bool hasExpectedEcho() const;
  bool isConnectionRefused(CURLcode aCode) const;
  /// Called when the final head has ended; returns false to close the
  /// connection.
  bool onHeadEnd();
  bool mayStream() const;
  /// Passes on the head and the part of the body that was received so far.
  void startStream();
  std::size_t onStreamedBytes(std::span<const std::uint8_t> aBytes);

  static int onPreRequest(void* aSelf, char*, char*, int, int aLocalPort);
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

  std::string_view mPurpose;
  MaySendFn mMaySend;
  std::function<bool(ConnectionId)> mMayUseConnection;
  ConnectionCounter& mConnections;
  std::size_t mMaxBodyBytes;
  std::string mEchoHeader;
  std::string mEchoValue;
  std::function<bool(const UpstreamResponse&)> mIsPossibleResponse;
  bool mAcceptsUnframedBody;
  bool mIsHead;
  bool mSent = false;
  bool mConnectionReused = false;
  ConnectionId mConnection = 0;
  bool mHadUnexpectedInput = false;
  ResponseHead mHead;
  bool mTooLarge = false;
  bool mOutOfMemory = false;
  UpstreamResponse mResponse;
  /// Of the body, passed on or not.
  std::size_t mBodyBytes = 0;
  std::optional<ResponseStreamHooks> mStream;
  std::optional<StreamWindow> mWindow;
  bool mIsPaused = false;
  std::unique_ptr<curl_slist, ListDeleter> mHeaderList;
  std::unique_ptr<curl_slist, ListDeleter> mConnectTo;
  std::unique_ptr<CURL, EasyDeleter> mHandle;
};

}

#endif

#ifndef RADISHROAD_CALLER_SERVER_H
#define RADISHROAD_CALLER_SERVER_H

#include "radishroad/base/error.h"
#include "radishroad/base/metrics.h"
#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"

#include <cstdint>
#include <memory>
#include <string>

namespace radishroad {

class BodyMemory;

/// HTTP server for callers, based on Pistache. It refuses malformed requests
/// and passes complete requests to the handler. Pipelined requests are answered
/// in order. A request is cancelled if its caller closes the connection before
/// the answer is sent.
class CallerServer
{
public:
  struct Options
  {
    /// "ip:port".
    std::string mListenAddress;
    unsigned mThreads = 2;
    std::size_t mMaxHeaderBytes = 16U << 10;
    std::size_t mMaxBodyBytes = 16U << 20;
    /// Input and bodies of requests and responses are counted there; may be
    /// null.
    std::shared_ptr<BodyMemory> mBodyMemory = {};
    Millis mHeaderTimeout{ 10000 };
    Millis mBodyTimeout{ 30000 };
    /// An idle connection is closed after this time.
    Millis mIdleTimeout{ 300000 };
    /// How long open connections are kept after draining begins. Requests on
    /// them are served, and each answer closes its connection. Connections that
    /// are idle afterwards are closed.
    Millis mDrainGracePeriod{ 500 };
    /// See ResponseOptions.
    bool mFractionalRetryAfter = false;
    bool mRestrictStatuses = false;
    /// Whether a request may run concurrently with those before it on its
    /// connection. If empty, the requests of a connection run one at a time.
    std::function<bool(const CallerRequest&)> mMayRunConcurrently = {};
    /// Whether the answer to a request may end its connection, so that no
    /// request may run behind it. If empty, none does.
    std::function<bool(const CallerRequest&)> mMayEndConnection = {};
  };

  CallerServer(Options aOptions, CallerRequestFn aHandler, Metrics& aMetrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  Result<void> start();
  /// The listening port; 0 before start.
  std::uint16_t port() const;
  /// Returns when the requests that are in progress at the call are answered,
  /// or after the timeout. Others are served meanwhile.
  void waitCurrentServed(Millis aTimeout);
  /// Refuses new connections and answers requests with "Connection: close".
  void beginDrain();
  /// Whether no request is in progress.
  bool isIdle();
  /// Begins to drain and closes idle connections after the grace period.
  /// Returns when no request is in progress and idle connections had time to
  /// close, or after the timeout.
  void drain(Millis aTimeout);
  /// Waits for the answers to requests in progress. Cancels the requests that
  /// still run after the timeout, and waits until they are answered. The
  /// handler must refuse requests that arrive meanwhile.
  void finish(Millis aTimeout);
  /// Closes all connections.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

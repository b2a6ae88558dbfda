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

/// The HTTP server for callers (Pistache). Refuses what is malformed before
/// anything runs; hands whole requests on; writes each answer whole and on
/// the connection it belongs to. Pipelined requests are answered in order. A
/// request whose caller closes before its answer is cancelled.
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
    Millis mHeaderTimeout{ 10000 };
    Millis mBodyTimeout{ 30000 };
    /// A connection without a request is closed after this time.
    Millis mIdleTimeout{ 300000 };
    /// While draining, requests on open connections are served this long, and
    /// each answer ends its connection; idle ones are closed afterwards.
    Millis mDrainGrace{ 500 };
    /// As in ResponseFraming.
    bool mExactRetryAfter = false;
    bool mPlainStatuses = false;
    /// May the request run beside those before it on its connection? If empty,
    /// requests of one connection run one after the other.
    std::function<bool(const CallerRequest&)> mMayOverlap = {};
  };

  CallerServer(Options aOptions, CallerRequestFn aHandler, Metrics& aMetrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  Result<void> start();
  /// The port listened on; 0 before start.
  std::uint16_t port() const;
  /// Answers what is under way with "Connection: close", closes idle
  /// connections after a grace, then refuses new requests as not run. Returns
  /// when nothing is under way or the time is up.
  void drain(Millis aTimeout);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

#ifndef RADISHROAD_CALLER_SERVER_CONTEXT_H
#define RADISHROAD_CALLER_SERVER_CONTEXT_H

#include "radishroad/caller/server.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace radishroad {

/// What all connections of a server share.
class ServerContext
{
public:
  enum class Phase
  {
    Serving,
    /// Requests are served; each connection ends with its next answer.
    Draining,
    /// Idle connections end; a request that still comes is served.
    Closing,
  };

  ServerContext(CallerServer::Options aOptions,
                CallerRequestFn aHandler,
                Metrics& aMetrics);

  const CallerServer::Options mOptions;
  const CallerRequestFn mHandler;
  Metrics& mMetrics;

  Phase phase() const { return mPhase.load(); }
  void setPhase(Phase aPhase) { mPhase.store(aPhase); }

  void connectionOpened();
  void connectionClosed();
  /// A connection has begun or ended to read, run or answer something.
  void connectionBusy();
  void connectionIdle();
  /// Waits until no connection is busy; false if the time was up first.
  bool waitIdle(Millis aTimeout);
  /// Waits until no connection is open; false if the time was up first.
  bool waitClosed(Millis aTimeout);

private:
  std::atomic<Phase> mPhase{ Phase::Serving };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mOpen = 0;
  std::int64_t mBusy = 0;
};

}

#endif

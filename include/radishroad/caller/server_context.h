#ifndef RADISHROAD_CALLER_SERVER_CONTEXT_H
#define RADISHROAD_CALLER_SERVER_CONTEXT_H

#include "radishroad/caller/server.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace radishroad {

/// State shared by all connections of a server.
class ServerContext
{
public:
  enum class Phase
  {
    Serving,
    /// Requests are served; each connection closes after its next answer.
    Draining,
    /// Idle connections are closed; requests that still arrive are served.
    Closing,
    /// Requests that still run are cancelled, so that they get an answer.
    Cancelling,
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
  /// A connection has begun to read, run or answer a request. Returns a value
  /// for connectionIdle().
  std::uint64_t connectionBusy();
  /// A connection is no longer reading, running or answering a request.
  void connectionIdle(std::uint64_t aGeneration);
  /// Waits until each connection that is busy at the call has been idle; false
  /// on timeout.
  bool waitCurrentServed(Millis aTimeout);
  /// Waits until no connection is busy; false on timeout.
  bool waitIdle(Millis aTimeout);
  /// Waits until no connection is open; false on timeout.
  bool waitClosed(Millis aTimeout);

private:
  std::atomic<Phase> mPhase{ Phase::Serving };
  std::mutex mMutex;
  std::condition_variable mCountsChanged;
  std::int64_t mOpenConnections = 0;
  std::int64_t mBusyConnections = 0;
  /// Grows with each call of waitCurrentServed().
  std::uint64_t mGeneration = 0;
  /// Busy connections that became so in an earlier generation.
  std::int64_t mBusyFromEarlier = 0;
};

}

#endif

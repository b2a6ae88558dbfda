#ifndef RADISHROAD_DAEMON_DAEMON_H
#define RADISHROAD_DAEMON_DAEMON_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/daemon/settings.h"

#include <functional>
#include <memory>
#include <optional>

namespace radishroad {

class RetryPolicy;
struct DaemonHooks;
struct StopSchedule;

/// One incarnation of the daemon, with all its threads and the state that they
/// share. A daemon that was removed from its cell rejoins as a new incarnation.
class Daemon
{
public:
  enum class ExitReason
  {
    /// Stopped on request.
    Stopped,
    /// This incarnation was removed from its cell; a new one may join.
    Rejoin,
  };

  /// aRetryPolicy must outlive the daemon. The daemon accepts callers' requests
  /// at once and joins its cell after aJoinDelay.
  Daemon(const DaemonSettings& aSettings,
         RetryPolicy& aRetryPolicy,
         Millis aJoinDelay,
         const DaemonHooks& aHooks);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Waits at most the given time for a stop request, and returns when the
  /// first one was made (monotonic time); nullopt if there has been none.
  using StopFn = std::function<std::optional<Millis>(Millis)>;

  /// Runs until it is asked to stop or removed from the cell. Fails if an
  /// address cannot be bound.
  Result<ExitReason> run(const StopFn& aWaitForStop);

private:
  struct Impl;

  /// Waits until all requests are answered that this incarnation, which was
  /// removed from its cell, has taken. Returns a stop request that is made
  /// meanwhile.
  std::optional<Millis> waitUntilAnswered(const StopFn& aWaitForStop);
  /// Lets requests that run end, and stops all threads.
  void finish(const StopSchedule& aSchedule);

  std::unique_ptr<Impl> mImpl;
};

}

#endif

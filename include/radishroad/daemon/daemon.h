#ifndef RADISHROAD_DAEMON_DAEMON_H
#define RADISHROAD_DAEMON_DAEMON_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/daemon/settings.h"

#include <functional>
#include <memory>

namespace radishroad {

class CrashWatch;
struct DaemonHooks;

/// One incarnation of the daemon: all its threads and what joins them.
class Daemon
{
public:
  enum class RunEnd
  {
    /// Asked to stop, and has.
    Stopped,
    /// This incarnation is out of its cell; a new one may join.
    Rejoin,
  };

  /// aCrashes outlives the daemon. It takes callers' requests at once, and
  /// joins its cell after aJoinDelay.
  Daemon(const DaemonSettings& aSettings,
         CrashWatch& aCrashes,
         Millis aJoinDelay,
         const DaemonHooks& aHooks);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Waits for a request to stop, up to the time given; true once it came.
  using StopFn = std::function<bool(Millis)>;

  /// Runs until asked to stop or out of the cell. Fails if an address cannot
  /// be bound.
  Result<RunEnd> run(const StopFn& aWaitForStop);

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}

#endif

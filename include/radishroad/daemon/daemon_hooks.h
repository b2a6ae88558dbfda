#ifndef RADISHROAD_DAEMON_DAEMON_HOOKS_H
#define RADISHROAD_DAEMON_DAEMON_HOOKS_H

#include "radishroad/base/millis.h"
#include "radishroad/daemon/protocol.h"
#include "radishroad/request/request.h"

#include <functional>

namespace radishroad {

/// Decisions that a program built on the daemon may replace. The product takes
/// them as they are; tests replace one to see which failures it guards against.
struct DaemonHooks
{
  /// Monotonic time up to which keys may be served, given the time up to which
  /// the lease is held.
  std::function<Millis(Millis)> mServeUntil = [](Millis aHeldUntil) {
    return aHeldUntil;
  };
  /// Whether a request whose outcome is unknown may run a second time.
  std::function<bool(const ForwardRequest&)> mMayRunTwice =
    [](const ForwardRequest& aRequest) { return aRequest.idempotent; };
  /// The protocol that the daemon speaks; its own unless set.
  MakeProtocolFn mMakeProtocol = [](const DaemonSettings&) {
    return DaemonProtocol{};
  };
};

}

#endif

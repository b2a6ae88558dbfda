#ifndef RADISHROAD_DAEMON_DAEMON_HOOKS_H
#define RADISHROAD_DAEMON_DAEMON_HOOKS_H

#include "radishroad/base/millis.h"
#include "radishroad/daemon/protocol.h"
#include "radishroad/request/request.h"

#include <functional>

namespace radishroad {

/// Decisions that a program built on the daemon may override. radishroadd uses
/// the default safety decisions; tests override one to show which failures it
/// prevents.
struct DaemonHooks
{
  /// Returns the monotonic time until which keys may be served, given the time
  /// until which the lease is held.
  std::function<Millis(Millis)> mServeUntil = [](Millis aHeldUntil) {
    return aHeldUntil;
  };
  /// Whether a request whose outcome is unknown may be executed again.
  std::function<bool(const ForwardRequest&)> mMayRunTwice =
    [](const ForwardRequest& aRequest) { return aRequest.idempotent; };
  /// Creates the protocol that the daemon speaks; its own by default.
  MakeProtocolFn mMakeProtocol = [](const DaemonSettings&) {
    return DaemonProtocol{};
  };
};

}

#endif

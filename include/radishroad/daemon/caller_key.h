#ifndef RADISHROAD_DAEMON_CALLER_KEY_H
#define RADISHROAD_DAEMON_CALLER_KEY_H

#include "radishroad/request/request.h"

#include <string>

namespace radishroad {

struct FleetView;
namespace config {
struct Model;
}

/// Returns the workspace of a caller's key, which is given as its stored hash.
/// Empty if the key is unknown.
std::string
findWorkspace(const config::Model& aModel, const std::string& aCallerKey);

/// Returns why a request must not run by a later configuration than the one
/// under which it was accepted, or None if it may: Unauthorized if its key was
/// withdrawn, ConfigUnconfirmed if the key is another workspace's now, so that
/// the caller has to ask again. A request may be queued, or delayed between
/// daemons, for longer than a change takes to be published. None for requests
/// on open routes.
NotRunReason
checkKeyAgain(const FleetView& aView, const ForwardRequest& aRequest);

}

#endif

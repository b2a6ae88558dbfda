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

/// Whether the caller's key has been withdrawn by a later configuration than
/// the one under which the request was accepted. A request may be queued, or
/// delayed between daemons, for longer than a withdrawal takes to be published.
/// False for requests on open routes.
bool
isKeyWithdrawn(const FleetView& aView, const ForwardRequest& aRequest);

}

#endif

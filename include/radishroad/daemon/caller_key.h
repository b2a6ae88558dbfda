#ifndef RADISHROAD_DAEMON_CALLER_KEY_H
#define RADISHROAD_DAEMON_CALLER_KEY_H

#include "radishroad/request/request.h"

#include <string>

namespace radishroad {

struct FleetView;
namespace config {
struct Model;
}

/// The workspace of a caller's key, given in its stored form; empty if the key
/// is not known.
std::string
findWorkspace(const config::Model& aModel, const std::string& aCallerKey);

/// Whether a configuration later than the one by which the request was accepted
/// withdraws the key that it came with. Requests may wait, or be held up
/// between daemons, for longer than a withdrawal takes. False on open routes.
bool
isKeyWithdrawn(const FleetView& aView, const ForwardRequest& aRequest);

}

#endif

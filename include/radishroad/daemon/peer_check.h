#ifndef RADISHROAD_DAEMON_PEER_CHECK_H
#define RADISHROAD_DAEMON_PEER_CHECK_H

#include "radishroad/request/request.h"

#include <string>

namespace radishroad {

struct FleetView;

/// Returns why a request from a peer must not run on this daemon's upstream, or
/// None if it may. Addresses of deleted VMs are reused, also by other services,
/// and the peer may not know that yet. aMayRefuseForGood: the view is known to
/// be new enough to say that a key was withdrawn.
NotRunReason
checkPeerRequest(const FleetView& aView,
                 const std::string& aOwnService,
                 const ForwardRequest& aRequest,
                 bool aMayRefuseForGood);

}

#endif

#ifndef RADISHROAD_DAEMON_PEER_CHECK_H
#define RADISHROAD_DAEMON_PEER_CHECK_H

#include "radishroad/request/request.h"

#include <string>

namespace radishroad {

struct FleetView;

/// Why a request that a peer has sent is not for this daemon's upstream; None
/// if it is. Addresses of VMs that are gone are used again, also by other
/// services, and a peer may not know that yet.
NotRunReason
checkPeerRequest(const FleetView& aView,
                 const std::string& aOwnService,
                 const ForwardRequest& aRequest);

}

#endif

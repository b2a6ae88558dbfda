#include "radishroad/daemon/peer_check.h"

#include "radishroad/daemon/caller_key.h"

namespace radishroad {

NotRunReason
checkPeerRequest(const FleetView& aView,
                 const std::string& aOwnService,
                 const ForwardRequest& aRequest)
{
  if (aRequest.service != aOwnService) {
    return NotRunReason::NotOwner;
  }
  return isKeyWithdrawn(aView, aRequest) ? NotRunReason::Unauthorized
                                         : NotRunReason::None;
}

}

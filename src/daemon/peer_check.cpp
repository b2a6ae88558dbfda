#include "radishroad/daemon/peer_check.h"

#include "radishroad/daemon/caller_key.h"

namespace radishroad {

NotRunReason
checkPeerRequest(const FleetView& aView,
                 const std::string& aOwnService,
                 const ForwardRequest& aRequest,
                 bool aMayRefuseForGood)
{
  if (aRequest.service != aOwnService) {
    return NotRunReason::NotOwner;
  }
  if (!isKeyWithdrawn(aView, aRequest)) {
    return NotRunReason::None;
  }
  return aMayRefuseForGood ? NotRunReason::Unauthorized
                           : NotRunReason::ConfigUnconfirmed;
}

}

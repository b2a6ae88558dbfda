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
  const NotRunReason reason = checkKeyAgain(aView, aRequest);
  return reason == NotRunReason::Unauthorized && !aMayRefuseForGood
           ? NotRunReason::ConfigUnconfirmed
           : reason;
}

}

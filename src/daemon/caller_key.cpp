#include "radishroad/daemon/caller_key.h"

#include "radishroad/daemon/fleet_view.h"

namespace radishroad {

std::string
findWorkspace(const config::Model& aModel, const std::string& aCallerKey)
{
  const auto it = aModel.mWorkspaceOfKey.find(aCallerKey);
  return it == aModel.mWorkspaceOfKey.end() ? std::string() : it->second;
}

NotRunReason
checkKeyAgain(const FleetView& aView, const ForwardRequest& aRequest)
{
  // A configuration older than the sender's may not contain the key yet.
  const bool isNewer = aView.mConfigVersion > aRequest.config_version;
  if (aRequest.caller_key.empty() || !isNewer || aView.mModel == nullptr) {
    return NotRunReason::None;
  }
  const std::string workspace =
    findWorkspace(*aView.mModel, aRequest.caller_key);
  if (workspace == aRequest.workspace) {
    return NotRunReason::None;
  }
  return workspace.empty() ? NotRunReason::Unauthorized
                           : NotRunReason::ConfigUnconfirmed;
}

}

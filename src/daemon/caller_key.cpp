#include "radishroad/daemon/caller_key.h"

#include "radishroad/daemon/fleet_view.h"

namespace radishroad {

std::string
findWorkspace(const config::Model& aModel, const std::string& aCallerKey)
{
  const auto it = aModel.mWorkspaceOfKey.find(aCallerKey);
  return it == aModel.mWorkspaceOfKey.end() ? std::string() : it->second;
}

bool
isKeyWithdrawn(const FleetView& aView, const ForwardRequest& aRequest)
{
  // With an older configuration than the sender's, the key may not be known
  // yet.
  const bool isNewer = aView.mConfigVersion > aRequest.config_version;
  return !aRequest.caller_key.empty() && isNewer && aView.mModel != nullptr &&
         findWorkspace(*aView.mModel, aRequest.caller_key) !=
           aRequest.workspace;
}

}

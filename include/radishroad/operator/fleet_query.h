#ifndef RADISHROAD_OPERATOR_FLEET_QUERY_H
#define RADISHROAD_OPERATOR_FLEET_QUERY_H

#include "radishroad/config/model.h"
#include "radishroad/operator/command_context.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace radishroad {

/// A daemon and the state it reports.
struct FleetMember
{
  std::string mService;
  Member mMember;
  /// The response to /state, or the reason it could not be fetched.
  Result<nlohmann::json> mState;
};

/// The configuration and cell states read from the log.
struct FleetSnapshot
{
  ConfigState mConfig;
  config::Model mModel;
  /// Keyed by service name.
  std::map<std::string, CellState> mCells;
};

/// Folds the configuration stream and the cell stream of each service.
Result<FleetSnapshot>
readFleetSnapshot(const CommandContext& aContext);

/// Returns the active members of all cells, sorted by service and VM.
std::vector<FleetMember>
activeMembers(const FleetSnapshot& aFleet);

/// Returns the active members that one daemon lists in its /state. Used as a
/// fallback when the log does not respond.
Result<std::vector<FleetMember>>
membersFromDaemon(const CommandContext& aContext, const std::string& aDaemon);

/// Fetches a path from each member, with a bounded number of concurrent
/// requests. The responses are in the order of aMembers.
std::vector<Result<std::string>>
fetchAll(const CommandContext& aContext,
         const std::vector<FleetMember>& aMembers,
         const std::string& aPath);

/// Fetches /state from each member into mState.
void
fetchStates(const CommandContext& aContext, std::vector<FleetMember>& aMembers);

}

#endif

#ifndef RADISHROAD_OPERATOR_FLEET_QUERY_H
#define RADISHROAD_OPERATOR_FLEET_QUERY_H

#include "radishroad/config/model.h"
#include "radishroad/operator/surroundings.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace radishroad {

/// A daemon as an operator finds it.
struct FleetMember
{
  std::string mService;
  Member mMember;
  /// Its /state, or why it could not be had.
  Result<nlohmann::json> mState;
};

/// All that is agreed, as the log tells it.
struct FleetRecords
{
  ConfigState mConfig;
  config::Model mModel;
  /// By service.
  std::map<std::string, CellState> mCells;
};

/// Folds the config stream and the stream of each service's cell.
Result<FleetRecords>
readFleet(const Surroundings& aSurroundings);

/// Active members of all cells, by service and VM.
std::vector<FleetMember>
activeMembers(const FleetRecords& aRecords);

/// As activeMembers, by way of one daemon's /state; for when the log does not
/// answer.
Result<std::vector<FleetMember>>
membersKnownBy(const Surroundings& aSurroundings, const std::string& aDaemon);

/// Asks each member for a page, a bounded number at once; answers are in the
/// members' order.
std::vector<Result<std::string>>
fetchAll(const Surroundings& aSurroundings,
         const std::vector<FleetMember>& aMembers,
         const std::string& aPath);

/// Fills in mState of each member.
void
fetchStates(const Surroundings& aSurroundings,
            std::vector<FleetMember>& aMembers);

}

#endif

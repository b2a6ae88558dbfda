#ifndef RADISHROAD_OPERATOR_ROLLOUT_STATUS_H
#define RADISHROAD_OPERATOR_ROLLOUT_STATUS_H

#include "radishroad/operator/command_context.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishroad {

/// A live daemon on which the version is not active yet.
struct LaggingMember
{
  std::string mService;
  std::string mVm;
  /// "has version 4", or the reason its state could not be read.
  std::string mProblem;
};

/// Shows on which live daemons a configuration version is active.
struct RolloutStatus
{
  std::size_t mLiveMembers = 0;
  /// Empty if the version is active on every live daemon.
  std::vector<LaggingMember> mLagging;
};

/// Polls the daemons until all active members of all cells report the version
/// or a newer one, or until the timeout.
Result<RolloutStatus>
waitForRollout(const CommandContext& aContext,
               std::uint64_t aVersion,
               Millis aTimeout);

}

#endif

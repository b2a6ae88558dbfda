#ifndef RADISHROAD_OPERATOR_IN_FORCE_H
#define RADISHROAD_OPERATOR_IN_FORCE_H

#include "radishroad/operator/surroundings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishroad {

/// A live daemon without the wanted version.
struct LaggingMember
{
  std::string mService;
  std::string mVm;
  /// "has version 4" or why its state could not be had.
  std::string mProblem;
};

struct InForce
{
  std::size_t mLiveMembers = 0;
  /// Empty if the version is in force at every live daemon.
  std::vector<LaggingMember> mLagging;
};

/// Polls the daemons until all active members of all cells have the version,
/// or a newer one, in force, or the time is up.
Result<InForce>
waitInForce(const Surroundings& aSurroundings,
            std::uint64_t aVersion,
            Millis aTimeout);

}

#endif

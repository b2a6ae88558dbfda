#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_FAILURES_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_FAILURES_H

#include "support/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace radishroad::test {

/// A failure that a test begins, and ends later. Fleets need relays.
struct Failure
{
  std::string mName;
  std::function<void(Fleet&, const std::string& aVm)> mBegin;
  std::function<void(Fleet&, const std::string& aVm)> mEnd;
};

/// Of one VM: its processes and its links.
std::vector<Failure>
vmFailures();

/// Of the log, for all VMs at once.
std::vector<Failure>
logFailures();

/// Those that tests of two failures at once draw from; the order is part of
/// what a seed means.
std::vector<Failure>
failuresForPairs();

}

#endif

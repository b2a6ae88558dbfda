#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_FAILURES_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_FAILURES_H

#include "support/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace radishroad::test {

/// A failure that a test injects and later ends. The fleet must have relays.
struct Failure
{
  std::string mName;
  std::function<void(Fleet&, const std::string& aVm)> mBegin;
  std::function<void(Fleet&, const std::string& aVm)> mEnd;
};

/// Failures of one VM: of its processes and of its network links.
std::vector<Failure>
vmFailures();

/// Failures of the log service, which affect all VMs at once.
std::vector<Failure>
logFailures();

/// What an upstream says about itself in its responses.
std::vector<Failure>
noticeFailures();

/// The log comes back from a copy that is some seconds old.
std::vector<Failure>
logRestoreFailures();

/// The failures from which tests of two simultaneous failures draw. The order
/// is fixed, because a seed selects failures by index.
std::vector<Failure>
failuresForPairs();

}

#endif

#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_NOTICE_CHECK_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_NOTICE_CHECK_H

#include "support/scenario.h"

#include <cstdint>
#include <span>
#include <string>

namespace radishroad::test {

/// Wall-clock times between which a VM was stopped, frozen or cut off.
struct Disturbance
{
  std::string mVm;
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = INT64_MAX;
};

/// Finds upstreams that got more requests within 4 s than one and a half times
/// the limit that they name, and 5 more. Counted from 3 s after an upstream
/// first names its limit are requests that began at a VM that had returned a
/// response with the limit half a second before and was not disturbed since.
Violations
findLimitExcesses(const Fleet& aFleet,
                  const Observations& aObservations,
                  std::span<const Disturbance> aDisturbances);

/// Finds requests that reached an upstream although they were sent more than
/// 2 s after the VM at which they began had returned a response that says that
/// the upstream is leaving, and the VM was not disturbed since.
Violations
findRequestsToLeavingUpstreams(const Fleet& aFleet,
                               const Observations& aObservations,
                               std::span<const Disturbance> aDisturbances);

}

#endif

#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_INVARIANTS_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_INVARIANTS_H

#include "common/load_engine.h"
#include "support/request_run.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace radishroad::test {

/// What a judge has against a run of the fleet, one text each. The judges read
/// journals of the stand-ins and what callers received, never a daemon's word.
using Violations = std::vector<std::string>;

/// A key is served by one VM at a time: no two runs of a key on different VMs
/// overlap.
Violations
findOwnerOverlaps(std::span<const RequestRun> aRuns);

/// A key's epochs never fall from one start of a run to the next, and a
/// change of VM has a higher epoch.
Violations
findEpochRegressions(std::span<const RequestRun> aRuns);

/// No request other than a GET runs twice, by the target's unique query.
Violations
findRepeatedRuns(std::span<const RequestRun> aRuns);

/// What callers were told is not run is in no journal.
Violations
findRunsReportedNotRun(std::span<const tools::LoadResult> aResults,
                       std::span<const RequestRun> aRuns);

/// Whole answers are those of their own request, and each answered request
/// that changes something is in a journal.
Violations
findMismatchedAnswers(std::span<const tools::LoadResult> aResults,
                      std::span<const RequestRun> aRuns);

/// No upstream saw a caller's key.
Violations
findForwardedCallerKeys(std::span<const RequestRun> aRuns);

/// None of these VMs started a run after the time.
Violations
findRunsAfter(std::span<const RequestRun> aRuns,
              const std::set<std::string>& aVms,
              std::int64_t aWallMs);

/// Every request got an answer of status 200.
Violations
findUnansweredRequests(std::span<const tools::LoadResult> aResults);

/// Longest time, by key, from the moment at which a request was to be sent to
/// the first whole answer to it or to a later request. A key that was not
/// answered again has kNeverRecovered.
constexpr std::int64_t kNeverRecovered = INT64_MAX;
std::map<std::string, std::int64_t>
unavailabilityByKey(std::span<const tools::LoadResult> aResults);

/// Key of a request's URL: its path without the query.
std::string
keyOf(const tools::LoadRequest& aRequest);

}

#endif

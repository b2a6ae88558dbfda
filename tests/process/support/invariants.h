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

/// Violations of an invariant, one description each. The functions below read
/// only the upstreams' journals and what callers received, never a daemon's
/// own reports.
using Violations = std::vector<std::string>;

/// Finds overlapping runs of a key on different VMs: a key must be served by
/// one VM at a time.
Violations
findOwnerOverlaps(std::span<const RequestRun> aRuns);

/// Finds runs with a lower epoch than the previous run of the same key, or
/// with the same epoch on another VM.
Violations
findEpochRegressions(std::span<const RequestRun> aRuns);

/// Finds requests other than GET that ran more than once. Requests are
/// identified by the unique query of their target.
Violations
findRepeatedRuns(std::span<const RequestRun> aRuns);

/// Finds requests that are in a journal although the caller was told that they
/// did not run.
Violations
findRunsReportedNotRun(std::span<const tools::LoadResult> aResults,
                       std::span<const RequestRun> aRuns);

/// Finds complete answers that belong to another request, or to a request that
/// is in no journal.
Violations
findMismatchedAnswers(std::span<const tools::LoadResult> aResults,
                      std::span<const RequestRun> aRuns);

/// Finds requests in which an upstream saw the caller's key.
Violations
findForwardedCallerKeys(std::span<const RequestRun> aRuns);

/// Finds runs that these VMs started after the given wall time.
Violations
findRunsAfter(std::span<const RequestRun> aRuns,
              const std::set<std::string>& aVms,
              std::int64_t aWallMs);

/// Finds requests that were not answered with status 200.
Violations
findUnansweredRequests(std::span<const tools::LoadResult> aResults);

/// For each key, the longest time from the scheduled sending of a request to
/// the first complete answer to that request or to a later one;
/// kNeverRecovered if no such answer came.
constexpr std::int64_t kNeverRecovered = INT64_MAX;
std::map<std::string, std::int64_t>
unavailabilityByKey(std::span<const tools::LoadResult> aResults);

/// Method, path and query parameter n, which is unique for each request. An
/// upstream may log the query parameters in another order.
std::string
requestIdentity(const std::string& aMethod, const std::string& aTarget);
std::string
requestIdentity(const tools::LoadRequest& aRequest);

/// Key of a request's URL: its path without the query.
std::string
keyOf(const tools::LoadRequest& aRequest);

}

#endif

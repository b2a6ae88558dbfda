#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_TRACE_RECORDER_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_TRACE_RECORDER_H

#include "support/fleet.h"
#include "support/request_run.h"

#include <span>
#include <string>

namespace radishroad::test {

/// What to record: a service's cell, and one daemon of it whose lease is
/// recorded.
struct TraceSubject
{
  std::string mService;
  std::string mHolderVm;
  /// How long a new owner waits after the loss of the previous one; 0 where
  /// upstreams check fences.
  Millis mTakeoverWait;
};

/// Writes trace.jsonl (see tests/traces/README.md) into the fleet's folder:
/// the log's records with the state changes that each makes, the lease and
/// configuration events that the daemons logged, and the runs in the
/// upstreams' journals. The daemons must log at level debug.
void
recordTrace(const Fleet& aFleet,
            const TraceSubject& aSubject,
            std::span<const RequestRun> aRuns);

}

#endif

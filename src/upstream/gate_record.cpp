#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <nlohmann/json.hpp>

namespace radishroad {

void
Gate::Impl::recordIncomplete(std::string_view aPurpose,
                             const ResponseTrace& aTrace)
{
  using End = ResponseTrace::End;
  const std::string_view end = responseEndName(aTrace.mEnd);
  mMetrics.count("radishroad_gate_refused_responses_total{purpose=\"" +
                 std::string(aPurpose) + "\",cause=\"" + std::string(end) +
                 "\"}");
  const bool hasBytes =
    aTrace.mEnd != End::None && aTrace.mEnd != End::BeforeHead &&
    aTrace.mEnd != End::Failed && aTrace.mEnd != End::TimedOut;
  if (aPurpose == kRunPurpose || !hasBytes) {
    return;
  }
  logEvent(LogLevel::Warn,
           "upstream_response_refused",
           { { "purpose", aPurpose },
             { "response_end", end },
             { "response_error", aTrace.mError },
             { "framing", framingName(aTrace.mFraming) },
             { "body_bytes", aTrace.mBodyBytes },
             { "connection_reused", aTrace.mConnectionReused } });
}

void
Gate::Impl::recordServed(const Run& aRun, Millis aNow)
{
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  const QueuedRequest& queued = aRun.mQueued;
  const Millis took = aNow - aRun.mSentAt;
  mWindow.onAnswer(took, aRun.mInFlight, aNow);
  mRunTimes.addRun(queued.mRequest.kind, took, slowness(aNow));
  mLongestRunTimes.add(queued.mRequest.kind, took, aNow);
  if (protocol.mPushesReports) {
    // The upstream still runs, so earlier failures were lost connections, not
    // crashes.
    std::erase_if(mCrashSuspects, [&aRun](const CrashSuspect& aSuspect) {
      return aSuspect.mAt < aRun.mSentAt;
    });
  }
  mAnswered.add(queued.mFingerprint, aNow);
  mQueue.charge(queued.mRequest.workspace, took);
  if (queued.mRequest.shard < kShardCount && protocol.mPushesReports) {
    mLoad.addBusyTime(queued.mRequest.shard, took);
  } else if (queued.mRequest.shard < kShardCount) {
    mLoad.add(queued.mRequest.shard, queued.mRequest.key_hash, took, aNow);
  }
  mMetrics.observe("radishroad_gate_run_seconds", took);
}

}

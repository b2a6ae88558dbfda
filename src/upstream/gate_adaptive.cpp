#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// How often the ages of unfinished runs are examined.
constexpr Millis kUpdateInterval{ 30 };
/// A change of the sustained concurrency by this share of the slots is logged.
constexpr double kLoggedShare = 0.3;
constexpr int kMinServerError = 500;

}

bool
Gate::Impl::isAdaptive() const
{
  return mService.mAdaptiveConcurrency && mOptions.mProtocol.mPushesReports;
}

std::uint32_t
Gate::Impl::slotLimit() const
{
  return isAdaptive() ? std::min(mSlots, mAdaptive.limit()) : mSlots;
}

double
Gate::Impl::expectedRunMs(std::uint32_t aKind) const
{
  const double expected = isAdaptive() ? mAdaptive.expectedMs(aKind) : 0;
  return expected > 0 ? expected : mRunTimes.typicalMs(aKind);
}

AdaptiveConcurrency::Run
Gate::Impl::makeAdaptiveRun(const Run& aRun) const
{
  AdaptiveConcurrency::Run run;
  run.mKind = aRun.mQueued.mRequest.kind;
  run.mStartedAt = aRun.mSentAt;
  run.mInFlight = aRun.mInFlight;
  run.mSlowness = slowness(mHooks.mNow());
  return run;
}

void
Gate::Impl::recordAdaptiveStart(const Run& aRun)
{
  if (aRun.mSent && isAdaptive()) {
    mAdaptive.onStart(aRun.mSentAt);
  }
}

void
Gate::Impl::recordAdaptiveAnswer(const Run& aRun,
                                 NotRunReason aReason,
                                 const UpstreamResponse& aResponse)
{
  using Outcome = AdaptiveConcurrency::Outcome;
  if (aReason == NotRunReason::Shed) {
    recordAdaptiveEnd(aRun, Outcome::Refused);
  } else if (aReason == NotRunReason::None) {
    const bool failed = aResponse.mStatus >= kMinServerError ||
                        !mOptions.mProtocol.mIsAuthentic(aResponse);
    recordAdaptiveEnd(aRun, failed ? Outcome::Failed : Outcome::Answered);
  }
}

void
Gate::Impl::setKindRunTime(const QueuedRequest& aQueued, Answer& aAnswer) const
{
  if (isAdaptive()) {
    aAnswer.load = std::make_unique<wire::GateLoadT>();
    aAnswer.load->kind_run_ms =
      static_cast<float>(expectedRunMs(aQueued.mRequest.kind));
  }
}

void
Gate::Impl::recordAdaptiveEnd(const Run& aRun,
                              AdaptiveConcurrency::Outcome aOutcome)
{
  if (!isAdaptive()) {
    return;
  }
  AdaptiveConcurrency::Run run = makeAdaptiveRun(aRun);
  run.mOutcome = aOutcome;
  mAdaptive.onEnd(run, mHooks.mNow());
}

void
Gate::Impl::updateAdaptive(Millis aNow)
{
  if (!isAdaptive() || aNow < mNextAdaptiveUpdate) {
    return;
  }
  mNextAdaptiveUpdate = aNow + kUpdateInterval;
  mAdaptive.setSlots(mSlots);
  std::vector<AdaptiveConcurrency::Run> runs;
  for (const auto& [id, run] : mRuns) {
    if (run.mSent) {
      runs.push_back(makeAdaptiveRun(run));
    }
  }
  mAdaptive.onPending(runs, aNow);
  recordSustained();
}

void
Gate::Impl::recordSustained()
{
  const std::uint32_t sustained = mAdaptive.sustained();
  mMetrics.gauge("radishroad_adaptive_sustained_slots", sustained);
  mMetrics.gauge("radishroad_adaptive_reported_slots", mSlots);
  mMetrics.gauge("radishroad_adaptive_reductions",
                 static_cast<double>(mAdaptive.reductions()));
  mMetrics.gauge("radishroad_adaptive_reductions_undone",
                 static_cast<double>(mAdaptive.undone()));
  const double change =
    std::abs(static_cast<double>(sustained) - mLoggedSustained);
  if (change < std::max(1.0, mSlots * kLoggedShare)) {
    return;
  }
  logEvent(LogLevel::Info,
           "sustained_concurrency",
           { { "slots", mSlots },
             { "sustained", sustained },
             { "sustained_before", mLoggedSustained },
             { "run_ms", mAdaptive.expectedMs() },
             { "slowness", slowness(mHooks.mNow()) },
             { "reductions", mAdaptive.reductions() },
             { "undone", mAdaptive.undone() } });
  mLoggedSustained = sustained;
}

}

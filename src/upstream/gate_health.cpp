#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace radishroad {

namespace {

/// Every n-th probe asks for the load instead of the health.
constexpr std::uint64_t kLoadProbeEvery = 4;
constexpr const char* kLoadPath = "/load";
/// A process that takes no connections for so long has ended.
constexpr Millis kEndConfirmTime{ 200 };

}

void
Gate::Impl::probe(Millis aNow)
{
  if (mProbeInFlight || !mHealth.probeDue(aNow)) {
    return;
  }
  mProbeInFlight = true;
  // Later than the report that may have asked for the probe.
  mProbeStartedAt = mHooks.mNow();
  mHealth.onProbeStarted(aNow);
  UpstreamRequest probe = makeHealthRequest();
  // Some of the probes of a healthy upstream ask for its load.
  const bool load = !mOptions.mProtocol.mPushesReports &&
                    ++mProbeCount % kLoadProbeEvery == 0 && mHealth.healthy();
  if (load) {
    probe.mTarget = kLoadPath;
  }
  const bool isFresh = std::exchange(mNextProbeNeedsFreshConnection, false);
  probe.mNeedsFreshConnection = isFresh;
  // Unanswered grants end connections of the shared pool.
  probe.mUsesOwnPool = grantsKeys() && !grantsByReport();
  mExchanges.start(
    probe,
    [] { return true; },
    [this, load, isFresh](
      ExchangeOutcome aOutcome, CURLcode, const UpstreamResponse& aResponse) {
      if (load && aOutcome == ExchangeOutcome::Complete) {
        mProbeInFlight = false;
        onLoadResponse(aResponse);
        return;
      }
      onProbeEnd(
        aOutcome, aResponse, isFresh || !aResponse.mTrace.mConnectionReused);
    });
}

void
Gate::Impl::onProbeEnd(ExchangeOutcome aOutcome,
                       const UpstreamResponse& aResponse,
                       bool aIsFreshConnection)
{
  mProbeInFlight = false;
  if (aOutcome == ExchangeOutcome::Complete &&
      mOptions.mProtocol.mPushesReports) {
    onHealthResponse(aResponse, aIsFreshConnection);
    return;
  }
  if (aOutcome == ExchangeOutcome::Complete) {
    const std::string_view instance =
      aResponse.header(mOptions.mProtocol.mInstanceHeader);
    const HealthChange change =
      mHealth.onProbeAnswer(aResponse.mStatus, instance);
    onHealthChange(change);
    if (change == HealthChange::None) {
      // The same instance still runs, so earlier failures were lost
      // connections, not crashes.
      std::erase_if(mCrashSuspects, [this](const CrashSuspect& aSuspect) {
        return aSuspect.mAt < mProbeStartedAt;
      });
    }
    return;
  }
  if (aOutcome == ExchangeOutcome::ConnectionRefused) {
    onProcessEnded(LostCause::ConnectionRefused, mProbeStartedAt);
    if (mHealth.lost() && mProbeStartedAt >= mLostAt + kEndConfirmTime) {
      confirmEnd();
    }
    return;
  }
  onHealthChange(mHealth.onProbeTimeout());
}

void
Gate::Impl::onHealthChange(HealthChange aChange)
{
  if (aChange != HealthChange::None) {
    mWindow.onCold(mHooks.mNow());
  }
  switch (aChange) {
    case HealthChange::None:
      return;
    case HealthChange::CameUp:
      mMetrics.count("radishroad_gate_upstream_up_total");
      mHooks.mOnHealth(true);
      return;
    case HealthChange::WentDown:
      mMetrics.count("radishroad_gate_upstream_down_total");
      mHooks.mOnHealth(false);
      return;
    case HealthChange::Lost:
      mMetrics.count("radishroad_gate_upstream_down_total");
      reportCrash();
      mHooks.mOnHealth(false);
      return;
    case HealthChange::Restarted:
      mMetrics.count("radishroad_gate_upstream_restarts_total");
      reportCrash();
      mGrants.onRestarted();
      clearAbandoned();
      if (!mOptions.mProtocol.mPushesReports) {
        onNewUpstreamProcess();
      }
      mHooks.mOnHealth(false);
      if (mHealth.healthy()) {
        mHooks.mOnHealth(true);
      }
      return;
  }
}

void
Gate::Impl::onProcessEnded(LostCause aCause,
                           Millis aStartedAt,
                           std::string_view aInstance)
{
  const HealthChange change = mHealth.onRefused(aStartedAt, mHooks.mNow());
  if (change == HealthChange::Lost) {
    mLostAt = mHooks.mNow();
    mNextEndProbe = mLostAt + kEndConfirmTime;
    mIsEndConfirmed = false;
    logEvent(LogLevel::Warn,
             "upstream_process_ended",
             { { "instance", mAppliedReport.mInstance },
               { "cause",
                 aCause == LostCause::ConnectionRefused ? "connection-refused"
                                                        : "other-instance" },
               { "response_instance", aInstance } });
  }
  onHealthChange(change);
}

void
Gate::Impl::requestEndProbe(Millis aNow)
{
  if (mHealth.lost() && !mIsEndConfirmed && aNow >= mNextEndProbe) {
    mNextEndProbe = aNow + kEndConfirmTime;
    mNextProbeNeedsFreshConnection = true;
    mHealth.requestProbe(aNow);
  }
}

void
Gate::Impl::confirmEnd()
{
  if (!mIsEndConfirmed) {
    mIsEndConfirmed = true;
    clearHolds("process-ended");
  }
}

void
Gate::Impl::suspectCrash(const Run& aRun)
{
  if (mAnswered.contains(aRun.mQueued.mFingerprint, mHooks.mNow())) {
    // The upstream has recently answered the same request without a crash.
    return;
  }
  mCrashSuspects.push_back(
    { aRun.mQueued.mFingerprint, idOf(aRun.mQueued.mRequest), mHooks.mNow() });
  if (mHealth.lost()) {
    reportCrash();
    return;
  }
  mHealth.requestProbe(mHooks.mNow());
}

bool
Gate::Impl::isCrashSuspect(std::uint64_t aFingerprint) const
{
  return std::ranges::any_of(mCrashSuspects, [&](const CrashSuspect& aSuspect) {
    return aSuspect.mFingerprint == aFingerprint;
  });
}

void
Gate::Impl::reportCrash()
{
  if (mHooks.mOnCrash) {
    for (const CrashSuspect& suspect : mCrashSuspects) {
      mHooks.mOnCrash(suspect.mFingerprint, suspect.mId);
    }
  }
  mCrashSuspects.clear();
}

}

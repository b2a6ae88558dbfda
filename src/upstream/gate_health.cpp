#include "gate_impl.h"

namespace radishroad {

namespace {

constexpr Millis kProbeTimeout{ 300 };
constexpr Millis kMaxIdle{ 30000 };
constexpr std::size_t kMaxProbeAnswer = 4096;
constexpr std::uint64_t kLoadProbeEvery = 4;
constexpr const char* kLoadPath = "/load";

}

void
Gate::Impl::probe(Millis aNow)
{
  if (mProbing || !mHealth.probeDue(aNow)) {
    return;
  }
  mProbing = true;
  mProbeStartedAt = aNow;
  mHealth.onProbeStarted(aNow);
  UpstreamRequest probe;
  probe.mUpstream = mOptions.mUpstream;
  probe.mMethod = "GET";
  // The load report is asked for along with health, less often.
  const bool load = !mOptions.mProtocol.mReports &&
                    ++mProbes % kLoadProbeEvery == 0 && mHealth.healthy();
  const std::string& path =
    mService.mHealthPath.empty() ? mOptions.mHealthPath : mService.mHealthPath;
  probe.mTarget = load ? kLoadPath : path;
  probe.mTimeout = kProbeTimeout;
  probe.mMaxIdle = kMaxIdle;
  probe.mMaxBodyBytes = kMaxProbeAnswer;
  mExchanges.start(
    probe,
    [] { return true; },
    [this,
     load](ExchangeEnd aEnd, CURLcode, const UpstreamResponse& aResponse) {
      if (load && aEnd == ExchangeEnd::Whole) {
        mProbing = false;
        onLoadAnswer(aResponse);
        return;
      }
      onProbeEnd(aEnd, aResponse);
    });
}

void
Gate::Impl::onProbeEnd(ExchangeEnd aEnd, const UpstreamResponse& aResponse)
{
  mProbing = false;
  if (aEnd == ExchangeEnd::Whole && mOptions.mProtocol.mReports) {
    onUpstreamHealth(aResponse);
    return;
  }
  if (aEnd == ExchangeEnd::Whole) {
    const std::string_view instance =
      aResponse.header(mOptions.mProtocol.mInstanceHeader);
    const HealthChange change =
      mHealth.onProbeAnswer(aResponse.mStatus, instance);
    onHealthChange(change);
    if (change == HealthChange::None) {
      // The same instance goes on: only connections had been cut.
      std::erase_if(mSuspects, [this](const CrashSuspect& aSuspect) {
        return aSuspect.mAt < mProbeStartedAt;
      });
    }
    return;
  }
  if (aEnd == ExchangeEnd::Refused) {
    onHealthChange(mHealth.onRefused());
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
      mGrants.clearHolds();
      mHooks.mOnHealth(false);
      return;
    case HealthChange::Restarted:
      mMetrics.count("radishroad_gate_upstream_restarts_total");
      reportCrash();
      mGrants.clearHolds();
      forgetGivenUp();
      mHooks.mOnHealth(false);
      if (mHealth.healthy()) {
        mHooks.mOnHealth(true);
      }
      return;
  }
}

void
Gate::Impl::suspectCrash(const Run& aRun)
{
  if (mAnswered.contains(aRun.mQueued.mFingerprint, mHooks.mNow())) {
    // The upstream has just answered the same request and lived.
    return;
  }
  mSuspects.push_back(
    { aRun.mQueued.mFingerprint, idOf(aRun.mQueued.mRequest), mHooks.mNow() });
  if (mHealth.lost()) {
    reportCrash();
    return;
  }
  mHealth.probeSoon(mHooks.mNow());
}

bool
Gate::Impl::isCrashSuspect(std::uint64_t aFingerprint) const
{
  return std::ranges::any_of(mSuspects, [&](const CrashSuspect& aSuspect) {
    return aSuspect.mFingerprint == aFingerprint;
  });
}

void
Gate::Impl::reportCrash()
{
  if (mHooks.mOnCrash) {
    for (const CrashSuspect& suspect : mSuspects) {
      mHooks.mOnCrash(suspect.mFingerprint, suspect.mId);
    }
  }
  mSuspects.clear();
}

}

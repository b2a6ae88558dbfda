#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr int kStatusOk = 200;
/// Pause between probes of an upstream that has stopped to report.
constexpr Millis kSilenceProbeInterval{ 1000 };

std::string
lifeName(const UpstreamReport& aReport)
{
  return std::to_string(lifeOf(aReport));
}

}

void
Gate::Impl::takeReport(const UpstreamReport& aReport)
{
  const Millis now = mHooks.mNow();
  const bool known = !mReport.mInstance.empty();
  const bool newLife = !known || lifeOf(aReport) != lifeOf(mReport);
  mReport = aReport;
  mReportedAt = now;
  mSlots = aReport.mSlots > 0 ? aReport.mSlots : mSlots;
  mCold.onCold(aReport.mColdLeft, now);
  if (newLife) {
    mClosedFrom.reset();
    logEvent(LogLevel::Info,
             "upstream_life",
             { { "instance", aReport.mInstance },
               { "born_ms", aReport.mBorn.mCount },
               { "slots", aReport.mSlots },
               { "cold_left_ms", aReport.mColdLeft.mCount } });
    mHooks.mOnLife(lifeOf(aReport));
  }
  if (aReport.mKind != UpstreamReport::Kind::Ready && !mClosedFrom) {
    mClosedFrom = now + mOptions.mDrainLimit;
    logEvent(LogLevel::Info,
             "upstream_drains",
             { { "instance", aReport.mInstance },
               { "closed_in_ms", mOptions.mDrainLimit.mCount } });
    mHooks.mOnDraining();
  }
  if (mHealth.lost() && !newLife) {
    // It may be a late report of a process that has ended.
    mHealth.probeSoon(now);
    return;
  }
  onHealthChange(mHealth.onProbeAnswer(kStatusOk, lifeName(aReport)));
}

void
Gate::Impl::onUpstreamHealth(const UpstreamResponse& aResponse)
{
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  if (mReport.mInstance.empty()) {
    return;
  }
  if (aResponse.header(protocol.mInstanceHeader) != mReport.mInstance) {
    // Another upstream has the address; it will report.
    onHealthChange(mHealth.onRefused());
    return;
  }
  if (protocol.mColdLeft) {
    mCold.onCold(protocol.mColdLeft(aResponse), mHooks.mNow());
  }
  onHealthChange(mHealth.onProbeAnswer(aResponse.mStatus, lifeName(mReport)));
}

void
Gate::Impl::watchReports(Millis aNow)
{
  if (!mOptions.mProtocol.mReports || mReport.mInstance.empty() ||
      aNow - mReportedAt < mOptions.mReportSilence ||
      aNow < mNextSilenceProbe) {
    return;
  }
  mNextSilenceProbe = aNow + kSilenceProbeInterval;
  mHealth.probeSoon(aNow);
}

void
Gate::Impl::noteResponse(const UpstreamResponse& aResponse)
{
  if (!mOptions.mProtocol.mLoad) {
    return;
  }
  const std::optional<UpstreamLoad> load = mOptions.mProtocol.mLoad(aResponse);
  if (load && load->mSlots > 0) {
    mSlots = load->mSlots;
  }
  if (load) {
    mSlowness = load->mSlowness;
    mSlownessAt = mHooks.mNow();
  }
}

bool
Gate::Impl::isAnotherUpstream(const UpstreamResponse& aResponse) const
{
  const std::string_view instance =
    aResponse.header(mOptions.mProtocol.mInstanceHeader);
  return !instance.empty() && instance != mReport.mInstance;
}

bool
Gate::Impl::isClosed(Millis aNow) const
{
  return mClosedFrom && aNow >= *mClosedFrom;
}

}

#include "gate_impl.h"

#include "radishroad/base/json_log.h"
#include "radishroad/http/header_text.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr int kStatusOk = 200;
/// Interval between probes of an upstream that has stopped reporting.
constexpr Millis kMissingReportProbeInterval{ 1000 };

std::string
incarnationText(const UpstreamReport& aReport)
{
  return std::to_string(incarnationOf(aReport));
}

}

void
Gate::Impl::applyReport(const UpstreamReport& aReport)
{
  const Millis now = mHooks.mNow();
  const bool isKnown = !mAppliedReport.mInstance.empty();
  const bool isNewIncarnation =
    !isKnown || incarnationOf(aReport) != incarnationOf(mAppliedReport);
  mAppliedReport = aReport;
  mReportedAt = now;
  mSlots = aReport.mSlots > 0 ? aReport.mSlots : mSlots;
  mColdStartLimiter.onCold(aReport.mColdTimeLeft, now);
  if (isNewIncarnation) {
    mAdaptive.reset();
    mProcessConnections.reset(now);
    mNextConfirmation = {};
    onNewUpstreamProcess();
    logEvent(LogLevel::Info,
             "upstream_life",
             { { "instance", aReport.mInstance },
               { "address", aReport.mAddress },
               { "at_own_address", aReport.mIsAtOwnAddress },
               { "born_ms", aReport.mStartTime.mCount },
               { "slots", aReport.mSlots },
               { "cold_left_ms", aReport.mColdTimeLeft.mCount } });
    mHooks.mOnIncarnation(incarnationOf(aReport));
  }
  if (!isKnown) {
    // The report may be a late one, from before the upstream told an earlier
    // process of this daemon that it leaves.
    mHealth.requestProbe(now);
  }
  mProcessConnections.onReport(aReport.mSequence);
  if (aReport.mKind != UpstreamReport::Kind::Ready) {
    // An earlier process of this daemon may have acknowledged the drain that
    // the first report to this process names.
    beginDrain(isKnown ? now : now - mOptions.mDrainPeriod);
  }
  if (mHealth.lost() && !isNewIncarnation) {
    // This may be a delayed report of a process that has ended.
    mHealth.requestProbe(now);
    return;
  }
  onHealthChange(mHealth.onProbeAnswer(kStatusOk, incarnationText(aReport)));
}

bool
Gate::Impl::namesInstance(const UpstreamResponse& aResponse) const
{
  const std::string& header = mOptions.mProtocol.mInstanceHeader;
  const auto count =
    std::ranges::count_if(aResponse.mHeaders, [&](const auto& aHeader) {
      return sameHeaderName(aHeader.name, header);
    });
  const std::string_view instance = aResponse.header(header);
  return count == 1 && !instance.empty() &&
         std::ranges::all_of(instance, [](unsigned char aByte) {
           return std::isgraph(aByte) != 0;
         });
}

void
Gate::Impl::onHealthResponse(const UpstreamResponse& aResponse,
                             bool aIsFreshConnection)
{
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  if (mAppliedReport.mInstance.empty()) {
    return;
  }
  const std::string_view instance = aResponse.header(protocol.mInstanceHeader);
  if (instance != mAppliedReport.mInstance && !aIsFreshConnection) {
    // It may have been sent before the upstream that reports now started.
    mNextProbeNeedsFreshConnection = true;
    mHealth.requestProbe(mHooks.mNow());
    return;
  }
  if (instance != mAppliedReport.mInstance) {
    // Another upstream process uses the address now; it will send reports.
    onProcessEnded(LostCause::OtherInstance, mProbeStartedAt, instance);
    if (mHealth.lost()) {
      confirmEnd();
    }
    return;
  }
  recordProcess(aResponse, true, mProbeStartedAt);
  recordHealthNotice(aResponse, mProbeStartedAt);
  if (protocol.mColdTimeLeft) {
    mColdStartLimiter.onCold(protocol.mColdTimeLeft(aResponse), mHooks.mNow());
  }
  onHealthChange(
    mHealth.onProbeAnswer(aResponse.mStatus, incarnationText(mAppliedReport)));
}

void
Gate::Impl::checkReportAge(Millis aNow)
{
  if (!mOptions.mProtocol.mPushesReports || mAppliedReport.mInstance.empty() ||
      aNow - mReportedAt < mOptions.mReportTimeout || aNow < mNextReportProbe) {
    return;
  }
  mNextReportProbe = aNow + kMissingReportProbeInterval;
  mHealth.requestProbe(aNow);
}

void
Gate::Impl::recordReportedLoad(const UpstreamResponse& aResponse)
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
Gate::Impl::isFromOtherInstance(const UpstreamResponse& aResponse) const
{
  const std::string_view instance =
    aResponse.header(mOptions.mProtocol.mInstanceHeader);
  return !instance.empty() && instance != mAppliedReport.mInstance;
}

void
Gate::Impl::beginDrain(Millis aSince)
{
  // Answers tell other VMs, also of a drain that only a report has begun.
  mNotice.mLeaving = true;
  const Millis end = aSince + mOptions.mDrainPeriod;
  if (mDrainEnd) {
    mDrainEnd = std::min(*mDrainEnd, end);
    return;
  }
  mDrainEnd = end;
  logEvent(LogLevel::Info,
           "upstream_drains",
           { { "instance", mAppliedReport.mInstance },
             { "closed_in_ms", (end - mHooks.mNow()).mCount } });
  if (mHooks.mOnDraining) {
    mHooks.mOnDraining();
  }
}

bool
Gate::Impl::isDrainOver(Millis aNow) const
{
  return mDrainEnd && aNow >= *mDrainEnd;
}

}

#include "gate_impl.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Interval of the log lines on an upstream that names a limit.
constexpr Millis kLimitUseInterval{ 1000 };

}

void
Gate::Impl::onNewUpstreamProcess()
{
  mDrainEnd.reset();
  // A limit is kept until the new process has answered.
  mNotice.mLeaving = false;
  mHasOwnNotice = false;
  mUpstreamSince = mHooks.mNow();
  mHealth.onNewProcess(mUpstreamSince);
}

std::uint64_t
Gate::Impl::upstreamProcess() const
{
  if (mOptions.mProtocol.mPushesReports) {
    return mAppliedReport.mInstance.empty() ? 0 : incarnationOf(mAppliedReport);
  }
  return mHealth.instance().empty() ? 0 : hash64(mHealth.instance());
}

void
Gate::Impl::setNotice(const UpstreamNotice& aNotice, Millis aLeavingSince)
{
  if (aNotice.mLimitPerSecond != mNotice.mLimitPerSecond) {
    nlohmann::json limit = nullptr;
    if (aNotice.mLimitPerSecond) {
      limit = *aNotice.mLimitPerSecond;
    }
    logEvent(LogLevel::Info,
             "upstream_limit",
             { { "instance", mAppliedReport.mInstance },
               { "limit_per_second", limit },
               { "own_response", mHasOwnNotice } });
    const Millis now = mHooks.mNow();
    if (!mNotice.mLimitPerSecond) {
      mLimitUseFrom = now;
      mSentSinceLimitUse = 0;
    }
    mNamedLimit.set(aNotice.mLimitPerSecond, now);
  }
  if (aNotice.mLeaving && !mNotice.mLeaving) {
    logEvent(LogLevel::Info,
             "upstream_leaving",
             { { "instance", mAppliedReport.mInstance },
               { "own_response", mHasOwnNotice } });
  }
  mNotice = aNotice;
  if (mNotice.mLeaving) {
    beginDrain(aLeavingSince);
  }
}

void
Gate::Impl::recordNotice(const UpstreamResponse& aResponse, Millis aSentAt)
{
  if (aSentAt < mUpstreamSince) {
    // It may come from the previous process.
    return;
  }
  std::optional<UpstreamNotice> notice =
    readUpstreamNotice(aResponse, mOptions.mProtocol.mNoticeHeaders);
  if (notice) {
    // That a process is leaving is final; responses may overtake each other.
    notice->mLeaving = notice->mLeaving || mNotice.mLeaving;
    mHasOwnNotice = true;
    setNotice(*notice, mHooks.mNow());
  }
}

void
Gate::Impl::recordHealthNotice(const UpstreamResponse& aResponse,
                               Millis aSentAt)
{
  const std::optional<UpstreamNotice> read =
    readUpstreamNotice(aResponse, mOptions.mProtocol.mNoticeHeaders);
  if (!read || aSentAt < mUpstreamSince) {
    return;
  }
  UpstreamNotice notice = mNotice;
  notice.mLeaving = notice.mLeaving || read->mLeaving;
  if (read->mLimitPerSecond) {
    notice.mLimitPerSecond = read->mLimitPerSecond;
    mHasOwnNotice = true;
  }
  if (notice != mNotice) {
    setNotice(notice, mHooks.mNow());
  }
}

bool
Gate::Impl::learnFrom(const wire::UpstreamNoticeT& aNotice)
{
  if (aNotice.upstream == 0 || aNotice.upstream != upstreamProcess()) {
    return false;
  }
  // Unlike that it is leaving, its limit may have changed since.
  UpstreamNotice notice = mNotice;
  notice.mLeaving = notice.mLeaving || aNotice.leaving;
  if (!mHasOwnNotice && aNotice.limit_per_second >= 0) {
    notice.mLimitPerSecond =
      std::min(notice.mLimitPerSecond.value_or(aNotice.limit_per_second),
               aNotice.limit_per_second);
  }
  const Millis leavingSince =
    mHooks.mNow() - Millis{ std::max<std::int64_t>(0, aNotice.leaving_ms) };
  const bool closesEarlier =
    aNotice.leaving &&
    (!mDrainEnd || leavingSince + mOptions.mDrainPeriod < *mDrainEnd);
  if (notice == mNotice && !closesEarlier) {
    return false;
  }
  setNotice(notice, leavingSince);
  return true;
}

std::unique_ptr<wire::UpstreamNoticeT>
Gate::Impl::noticeForAnswers() const
{
  const bool isKnown =
    mHasOwnNotice || mNotice.mLimitPerSecond || mNotice.mLeaving;
  if (!isKnown || upstreamProcess() == 0) {
    return nullptr;
  }
  std::unique_ptr<wire::UpstreamNoticeT> notice =
    std::make_unique<wire::UpstreamNoticeT>();
  notice->upstream = upstreamProcess();
  notice->limit_per_second = mNotice.mLimitPerSecond.value_or(-1);
  notice->leaving = mNotice.mLeaving;
  return notice;
}

void
Gate::Impl::recordLimitUse(Millis aNow)
{
  if (!mNotice.mLimitPerSecond || aNow - mLimitUseFrom < kLimitUseInterval) {
    return;
  }
  if (mSentSinceLimitUse > 0) {
    logEvent(LogLevel::Info,
             "upstream_limit_use",
             { { "limit_per_second", *mNotice.mLimitPerSecond },
               { "sent", mSentSinceLimitUse },
               { "in_ms", (aNow - mLimitUseFrom).mCount },
               { "queued", mQueue.size() } });
  }
  mLimitUseFrom = aNow;
  mSentSinceLimitUse = 0;
}

}

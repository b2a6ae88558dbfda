#include "gate_impl.h"

#include "radishroad/base/json_log.h"

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
  mUpstreamSince = mHooks.mNow();
}

void
Gate::Impl::recordNotice(const UpstreamResponse& aResponse, Millis aSentAt)
{
  if (aSentAt < mUpstreamSince) {
    // It may come from the previous process.
    return;
  }
  const Millis now = mHooks.mNow();
  const std::optional<UpstreamNotice> notice =
    readUpstreamNotice(aResponse, mOptions.mProtocol.mNoticeHeaders);
  if (!notice || *notice == mNotice) {
    return;
  }
  if (notice->mLimitPerSecond != mNotice.mLimitPerSecond) {
    nlohmann::json limit = nullptr;
    if (notice->mLimitPerSecond) {
      limit = *notice->mLimitPerSecond;
    }
    logEvent(LogLevel::Info,
             "upstream_limit",
             { { "instance", mAppliedReport.mInstance },
               { "limit_per_second", limit } });
    if (!mNotice.mLimitPerSecond) {
      mLimitUseFrom = now;
      mSentSinceLimitUse = 0;
    }
    mNamedLimit.set(notice->mLimitPerSecond, now);
  }
  if (notice->mLeaving && !mNotice.mLeaving) {
    logEvent(LogLevel::Info,
             "upstream_leaving",
             { { "instance", mAppliedReport.mInstance } });
    beginDrain(now);
  }
  mNotice = *notice;
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

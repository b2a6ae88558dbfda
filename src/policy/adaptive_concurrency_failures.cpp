#include "radishroad/policy/adaptive_concurrency.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Pause before the concurrency at which runs were refused or reset is tried
/// again. Longer after a reset, which loses a request that may have run.
constexpr Millis kRetryRefused{ 1000 };
constexpr Millis kMinResetHold{ 4000 };
constexpr Millis kMaxResetHold{ 32000 };

/// Failures reduce the limit only if they are this many times as frequent while
/// the limit is in use, compared over at least kMinFreeRuns others.
constexpr double kFailureFactor = 3;
constexpr double kMinFreeRuns = 20;
constexpr double kMinFailures = 4;

}

void
AdaptiveConcurrency::onOverload(const Run& aRun, Millis aNow)
{
  const bool isReset = aRun.mOutcome == Outcome::Reset;
  // One full moment ends many runs, so only those that started since the last
  // change count.
  if (!isCrowded(aRun) || aRun.mStartedAt < mChangedAt ||
      aNow < mNoReductionUntil) {
    return;
  }
  if (mLimit <= lowest()) {
    // It does so at any concurrency; fewer requests at a time do not help.
    mLimitBefore = mSlots;
    undo(1, aNow);
    return;
  }
  if (isReset) {
    mResetHold = std::clamp(mResetHold * 2, kMinResetHold, kMaxResetHold);
  }
  const double highest = std::min(mLimit, static_cast<double>(aRun.mInFlight));
  reduce(std::min(highest - 1, mLimit - 1), 1, aNow);
  mCeiling = highest;
  // The throughput before, with runs lost, is no measure for an undo.
  mLimitBefore = 0;
  mRetryCeilingAt = aNow + (isReset ? mResetHold : kRetryRefused);
}

void
AdaptiveConcurrency::countFailure(const Run& aRun, Millis aNow)
{
  const bool crowded = isCrowded(aRun);
  mFailures[crowded] += 1;
  if (!crowded || mRuns[0] < kMinFreeRuns || mFailures[1] < kMinFailures) {
    return;
  }
  const double freeShare = (mFailures[0] + 1) / mRuns[0];
  const double crowdedShare = mFailures[1] / mRuns[1];
  if (crowdedShare > kFailureFactor * freeShare) {
    mFailures[1] = 0;
    onOverload(aRun, aNow);
  }
}

}

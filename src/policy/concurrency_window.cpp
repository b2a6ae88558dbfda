#include "radishroad/policy/concurrency_window.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace radishroad {

namespace {

constexpr double kStartSize = 1.0;
constexpr Millis kRoundTime{ 200 };
constexpr std::size_t kMinSamples = 5;
constexpr double kSlowStartFactor = 1.3;
constexpr double kAdditiveIncrease = 1.0;
/// The window grows only if at least one in kFullSampleDivisor answers belongs
/// to a request that filled the window.
constexpr std::size_t kFullSampleDivisor = 4;
/// Number of answers after which the evidence for growth is collected anew.
constexpr std::size_t kMaxEvidenceAnswers = 400;

/// Weight of a new median in the baseline. The minimum of medians of few
/// samples would be far too low.
constexpr double kBaselineFallGain = 0.3;
constexpr double kBaselineRiseGain = 0.02;
/// Limits on answer times: a ratio to the baseline, plus slack because the
/// clock counts whole milliseconds.
constexpr double kGrowRatio = 1.25;
constexpr double kGrowSlackMs = 1.5;
constexpr double kShrinkRatio = 1.4;
constexpr double kShrinkSlackMs = 3.0;
constexpr double kLateRatio = 2.0;
constexpr double kLateSlackMs = 5.0;
constexpr double kColdRatio = 4.0;
constexpr double kColdSlackMs = 5.0;

/// Late requests mean a cold upstream only if no answer has been in time for
/// this many baseline times; a few long requests among short ones do not.
constexpr double kFastAnswerRatio = 2.0;

/// An unused window decays towards the requests in flight times this headroom.
constexpr double kUnusedHeadroom = 1.25;
constexpr double kUnusedDecayFactor = 0.9;

/// Fewer late requests than this are no evidence of a slowdown.
constexpr std::uint32_t kMinPending = 2;

constexpr double kSlowShrinkFactor = 0.8;
constexpr double kShedShrinkFactor = 0.7;
constexpr double kTimeoutShrinkFactor = 0.5;
/// One cause produces many signals at once; within this interval they shrink
/// the window once.
constexpr Millis kMinShrinkInterval{ 100 };

/// Percentage of requests that the expected time covers.
constexpr std::size_t kExpectedTimePercentile = 90;
constexpr double kExpectedTimeMargin = 1.5;
/// Weight of a new round in the expected time.
constexpr double kExpectedTimeGain = 0.3;
/// A timeout shows that a request needs more time than it had, so the expected
/// time becomes at least its age times this factor.
constexpr double kTimeoutGrowth = 1.25;

/// The window's share for non-idempotent requests is at least this, or their
/// share of the offered requests times the headroom if that is more.
constexpr double kMinNonIdempotentShare = 0.34;
constexpr double kNonIdempotentHeadroom = 1.5;
/// Weight of one request in the smoothed share of non-idempotent requests.
constexpr double kOfferedGain = 0.01;

/// The baseline falls while an upstream warms up, so the interval between
/// refreshes starts short after a cold start and grows with the time since.
constexpr Millis kMinRefreshInterval{ 600 };
constexpr Millis kMaxRefreshInterval{ 10000 };
constexpr std::int64_t kRefreshIntervalDivisor = 8;
constexpr double kRefreshSizeFactor = 0.5;
/// An oversized window leaves a queue at the upstream even while a refresh
/// reduces it, so a refresh may raise the baseline only by this factor.
constexpr double kMaxRefreshRise = 1.1;

double
medianOf(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

}

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t aMax)
  : mMax(std::max(1U, aMax))
  , mSize(kStartSize)
{
}

void
ConcurrencyWindow::setMax(std::uint32_t aMax)
{
  mMax = std::max(1U, aMax);
  mSize = std::min(mSize, static_cast<double>(mMax));
}

std::uint32_t
ConcurrencyWindow::limit() const
{
  return mThrottled ? 1 : wholeSize();
}

std::uint32_t
ConcurrencyWindow::wholeSize() const
{
  return static_cast<std::uint32_t>(std::max(1.0, mSize));
}

double
ConcurrencyWindow::size() const
{
  return mSize;
}

std::uint32_t
ConcurrencyWindow::nonIdempotentLimit() const
{
  const double share = std::max(kMinNonIdempotentShare,
                                mNonIdempotentShare * kNonIdempotentHeadroom);
  const double upperBound = limit() * std::min(1.0, share);
  return static_cast<std::uint32_t>(std::max(1.0, upperBound));
}

void
ConcurrencyWindow::onOffered(bool aIdempotent)
{
  const double offered = aIdempotent ? 0 : 1;
  mNonIdempotentShare += kOfferedGain * (offered - mNonIdempotentShare);
}

void
ConcurrencyWindow::onCold(Millis aNow)
{
  mSize = kStartSize;
  mThrottled = false;
  mSlowStart = true;
  mColdAt = aNow;
  mIgnoredBefore = aNow;
  mBaselineMs.reset();
  resetGrowthEvidence();
  mSizeAfterRefresh.reset();
  mNextRefresh = aNow + kMinRefreshInterval;
  startRound(aNow);
}

void
ConcurrencyWindow::startRound(Millis aNow)
{
  mRoundStart = aNow;
  mRoundSamples.clear();
  mMaxInFlight = 0;
}

void
ConcurrencyWindow::onAnswer(Millis aTook, std::uint32_t aInFlight, Millis aNow)
{
  if (aNow - aTook < mIgnoredBefore) {
    // The request was sent before the cold start or the baseline refresh, so
    // the answer time does not reflect the current state.
    return;
  }
  if (aTook < ages().mLate) {
    mLastFastAnswer = aNow;
  }
  if (mAnswersSinceChange >= kMaxEvidenceAnswers) {
    resetGrowthEvidence();
  }
  const double took = static_cast<double>(aTook.mCount);
  mRoundSamples.push_back(took);
  ++mAnswersSinceChange;
  if (aInFlight >= wholeSize()) {
    mFullWindowSamples.push_back(took);
  }
  mMaxInFlight = std::max(mMaxInFlight, aInFlight);
  const std::size_t requiredSamples =
    std::max<std::size_t>(kMinSamples, wholeSize() / 2);
  if (aNow - mRoundStart >= kRoundTime &&
      mRoundSamples.size() >= requiredSamples) {
    endRound(aNow);
  }
}

void
ConcurrencyWindow::endRound(Millis aNow)
{
  const double median = medianOf(mRoundSamples);
  updateExpectedTime();
  if (mSizeAfterRefresh) {
    const double upperBound = mBaselineMs.value_or(median) * kMaxRefreshRise;
    mBaselineMs = std::min(median, upperBound);
    mSize = *mSizeAfterRefresh;
    mSizeAfterRefresh.reset();
    resetGrowthEvidence();
  } else {
    adjustSize(median, aNow);
  }
  startRound(aNow);
}

void
ConcurrencyWindow::adjustSize(double aMedian, Millis aNow)
{
  const double before = mBaselineMs.value_or(aMedian);
  const double gain = aMedian < before ? kBaselineFallGain : kBaselineRiseGain;
  const double baseline = before + gain * (aMedian - before);
  mBaselineMs = baseline;
  if (aMedian > kColdRatio * baseline + kColdSlackMs) {
    onCold(aNow);
    return;
  }
  if (aMedian > kShrinkRatio * baseline + kShrinkSlackMs) {
    shrink(kSlowShrinkFactor, aNow);
    return;
  }
  const bool inUse = mMaxInFlight >= wholeSize();
  const bool fast = aMedian <= kGrowRatio * baseline + kGrowSlackMs;
  const bool reportedBusy = mLoadReport.mQueued > 0 && aMedian > baseline;
  if (inUse && fast && !reportedBusy && isFastWhenFull()) {
    grow();
  }
  if (inUse) {
    maybeStartBaselineRefresh(aNow);
  } else {
    decayUnused();
  }
}

bool
ConcurrencyWindow::isFastWhenFull() const
{
  const std::size_t requiredSamples =
    std::max(kMinSamples, mAnswersSinceChange / kFullSampleDivisor);
  if (mFullWindowSamples.size() < requiredSamples) {
    return false;
  }
  return medianOf(mFullWindowSamples) <=
         kGrowRatio * *mBaselineMs + kGrowSlackMs;
}

void
ConcurrencyWindow::resetGrowthEvidence()
{
  mFullWindowSamples.clear();
  mAnswersSinceChange = 0;
}

void
ConcurrencyWindow::grow()
{
  resetGrowthEvidence();
  const double next =
    mSlowStart ? std::max(mSize * kSlowStartFactor, mSize + kAdditiveIncrease)
               : mSize + kAdditiveIncrease;
  mSize = std::min(next, static_cast<double>(mMax));
}

void
ConcurrencyWindow::decayUnused()
{
  // An unused part of the window is no evidence of what the upstream can
  // sustain now (congestion window validation, RFC 7661).
  const double used = mMaxInFlight;
  const double target =
    std::max(kStartSize, used * kUnusedHeadroom + kAdditiveIncrease);
  if (mSize > target) {
    mSize = std::max(target, mSize * kUnusedDecayFactor);
  }
}

void
ConcurrencyWindow::shrink(double aFactor, Millis aNow)
{
  mSlowStart = false;
  if (aNow - mLastShrink < kMinShrinkInterval) {
    return;
  }
  mLastShrink = aNow;
  resetGrowthEvidence();
  mSize = std::max(kStartSize, mSize * aFactor);
  if (mSizeAfterRefresh) {
    mSizeAfterRefresh = std::max(kStartSize, *mSizeAfterRefresh * aFactor);
  }
}

Millis
ConcurrencyWindow::baselineRefreshInterval(Millis aNow) const
{
  const Millis part = (aNow - mColdAt) / kRefreshIntervalDivisor;
  return std::clamp(part, kMinRefreshInterval, kMaxRefreshInterval);
}

void
ConcurrencyWindow::maybeStartBaselineRefresh(Millis aNow)
{
  if (aNow < mNextRefresh || mSize <= kStartSize) {
    return;
  }
  mNextRefresh = aNow + baselineRefreshInterval(aNow);
  resetGrowthEvidence();
  mSizeAfterRefresh = mSize;
  mSize = std::max(kStartSize, mSize * kRefreshSizeFactor);
  mIgnoredBefore = aNow;
}

void
ConcurrencyWindow::onShed(Millis aNow)
{
  shrink(kShedShrinkFactor, aNow);
}

void
ConcurrencyWindow::onTimeout(Millis aAge, Millis aNow)
{
  const double age = static_cast<double>(aAge.mCount);
  mExpectedMs = std::max(mExpectedMs, age * kTimeoutGrowth + 1);
  // A request that was sent with little time left is no evidence of load.
  const bool slow =
    mBaselineMs && age > kColdRatio * *mBaselineMs + kColdSlackMs;
  if (slow) {
    shrink(kTimeoutShrinkFactor, aNow);
  }
}

Millis
ConcurrencyWindow::expectedTime() const
{
  const double withMargin = mExpectedMs * kExpectedTimeMargin;
  return Millis{ static_cast<std::int64_t>(std::ceil(withMargin)) };
}

void
ConcurrencyWindow::updateExpectedTime()
{
  const std::size_t rank = mRoundSamples.size() * kExpectedTimePercentile / 100;
  const auto place = mRoundSamples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(mRoundSamples.begin(), place, mRoundSamples.end());
  mExpectedMs += kExpectedTimeGain * (*place - mExpectedMs);
}

ConcurrencyWindow::Ages
ConcurrencyWindow::ages() const
{
  constexpr Millis kNever{ std::numeric_limits<std::int64_t>::max() };
  if (!mBaselineMs) {
    return { kNever, kNever };
  }
  const auto age = [this](double aRatio, double aSlackMs) {
    const double count = aRatio * *mBaselineMs + aSlackMs;
    return Millis{ static_cast<std::int64_t>(std::ceil(count)) };
  };
  return { age(kLateRatio, kLateSlackMs), age(kColdRatio, kColdSlackMs) };
}

bool
ConcurrencyWindow::hasRecentFastAnswer(Millis aNow) const
{
  const double since = static_cast<double>((aNow - mLastFastAnswer).mCount);
  return mBaselineMs && since < kFastAnswerRatio * *mBaselineMs;
}

bool
ConcurrencyWindow::onPending(const Pending& aPending, Millis aNow)
{
  const auto atLeastHalf = [&aPending](std::uint32_t aCount) {
    return aCount >= kMinPending && aCount * 2 >= aPending.mTotal;
  };
  mThrottled = atLeastHalf(aPending.mLate);
  const bool cold = atLeastHalf(aPending.mCold) && !hasRecentFastAnswer(aNow);
  if (cold) {
    onCold(aNow);
  }
  return cold;
}

void
ConcurrencyWindow::onLoadReport(const UpstreamLoadReport& aReport)
{
  mLoadReport = aReport;
}

}

#include "radishroad/policy/window.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace radishroad {

namespace {

constexpr double kStartSize = 1.0;
constexpr Millis kRoundTime{ 200 };
constexpr std::size_t kMinSamples = 5;
constexpr double kSlowStartFactor = 1.3;
constexpr double kIncrease = 1.0;
/// One answer in so many must be to a request that filled the window.
constexpr std::size_t kFullPart = 4;
/// Answers after which the evidence for growth is collected anew.
constexpr std::size_t kMaxEvidence = 400;

/// Answer times against the baseline: ratio, and what is added because the
/// clock counts whole milliseconds.
/// Weight of a new median in the baseline. A plain minimum of medians of few
/// samples would come out far too low.
constexpr double kBaselineDown = 0.3;
constexpr double kBaselineUp = 0.02;
constexpr double kGrowRatio = 1.25;
constexpr double kGrowSlackMs = 1.5;
constexpr double kShrinkRatio = 1.4;
constexpr double kShrinkSlackMs = 3.0;
constexpr double kLateRatio = 2.0;
constexpr double kLateSlackMs = 5.0;
constexpr double kColdRatio = 4.0;
constexpr double kColdSlackMs = 5.0;

/// Baselines without an answer that is not late before late requests mean a
/// cold upstream. A few long requests among short ones do not.
constexpr double kFastAnswerRatio = 2.0;

/// Room kept above what is in use, and the decay towards it.
constexpr double kUnusedRoom = 1.25;
constexpr double kUnusedFactor = 0.9;

/// Fewer late requests than this prove nothing.
constexpr std::uint32_t kLeastPending = 2;

constexpr double kSlowFactor = 0.8;
constexpr double kShedFactor = 0.7;
constexpr double kTimeoutFactor = 0.5;
/// One cause gives many signs at once; they count as one.
constexpr Millis kShrinkPause{ 100 };

/// The share of requests that the expected time covers.
constexpr std::size_t kExpectedPercent = 90;
constexpr double kExpectedMargin = 1.5;
/// Weight of a new round in the expected time.
constexpr double kExpectedGain = 0.3;
/// A time-out says that the time needed is longer than what was given.
constexpr double kTimeoutGrowth = 1.25;

/// Least share of the window that may be not idempotent; where callers ask for
/// more of them, so many times what they ask for.
constexpr double kNotIdempotentShare = 0.34;
constexpr double kNotIdempotentRoom = 1.5;
/// Weight of one request in their smoothed share.
constexpr double kOfferedGain = 0.01;

/// The baseline falls while an upstream warms up, so it is refreshed often
/// after a cold start and ever more rarely later.
constexpr Millis kMinRefreshInterval{ 600 };
constexpr Millis kMaxRefreshInterval{ 10000 };
constexpr std::int64_t kRefreshPart = 8;
constexpr double kRefreshFactor = 0.5;
/// A window that is far too large has a queue even at the dip, so that the
/// baseline may rise by so much only.
constexpr double kRefreshRise = 1.1;

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
  return mHold ? 1 : whole();
}

std::uint32_t
ConcurrencyWindow::whole() const
{
  return static_cast<std::uint32_t>(std::max(1.0, mSize));
}

double
ConcurrencyWindow::size() const
{
  return mSize;
}

std::uint32_t
ConcurrencyWindow::notIdempotentLimit() const
{
  const double share =
    std::max(kNotIdempotentShare, mNotIdempotent * kNotIdempotentRoom);
  const double most = limit() * std::min(1.0, share);
  return static_cast<std::uint32_t>(std::max(1.0, most));
}

void
ConcurrencyWindow::onOffered(bool aIdempotent)
{
  const double offered = aIdempotent ? 0 : 1;
  mNotIdempotent += kOfferedGain * (offered - mNotIdempotent);
}

void
ConcurrencyWindow::onCold(Millis aNow)
{
  mSize = kStartSize;
  mHold = false;
  mSlowStart = true;
  mColdAt = aNow;
  mCountsFrom = aNow;
  mBaseline.reset();
  forgetFull();
  mSizeAfterRefresh.reset();
  mNextRefresh = aNow + kMinRefreshInterval;
  startRound(aNow);
}

void
ConcurrencyWindow::startRound(Millis aNow)
{
  mRoundStart = aNow;
  mSamples.clear();
  mMostInFlight = 0;
}

void
ConcurrencyWindow::onAnswer(Millis aTook, std::uint32_t aInFlight, Millis aNow)
{
  if (aNow - aTook < mCountsFrom) {
    // Sent before the cold start or the dip; it tells of another state.
    return;
  }
  if (aTook < ages().mLate) {
    mLastFast = aNow;
  }
  if (mSinceChange >= kMaxEvidence) {
    forgetFull();
  }
  const double took = static_cast<double>(aTook.mCount);
  mSamples.push_back(took);
  ++mSinceChange;
  if (aInFlight >= whole()) {
    mFullSamples.push_back(took);
  }
  mMostInFlight = std::max(mMostInFlight, aInFlight);
  const std::size_t enough = std::max<std::size_t>(kMinSamples, whole() / 2);
  if (aNow - mRoundStart >= kRoundTime && mSamples.size() >= enough) {
    endRound(aNow);
  }
}

void
ConcurrencyWindow::endRound(Millis aNow)
{
  const double median = medianOf(mSamples);
  noteExpected();
  if (mSizeAfterRefresh) {
    const double most = mBaseline.value_or(median) * kRefreshRise;
    mBaseline = std::min(median, most);
    mSize = *mSizeAfterRefresh;
    mSizeAfterRefresh.reset();
    forgetFull();
  } else {
    judge(median, aNow);
  }
  startRound(aNow);
}

void
ConcurrencyWindow::judge(double aMedian, Millis aNow)
{
  const double before = mBaseline.value_or(aMedian);
  const double gain = aMedian < before ? kBaselineDown : kBaselineUp;
  const double baseline = before + gain * (aMedian - before);
  mBaseline = baseline;
  if (aMedian > kColdRatio * baseline + kColdSlackMs) {
    onCold(aNow);
    return;
  }
  if (aMedian > kShrinkRatio * baseline + kShrinkSlackMs) {
    shrink(kSlowFactor, aNow);
    return;
  }
  const bool inUse = mMostInFlight >= whole();
  const bool fast = aMedian <= kGrowRatio * baseline + kGrowSlackMs;
  const bool reportedBusy = mReading.mQueued > 0 && aMedian > baseline;
  if (inUse && fast && !reportedBusy && fullIsFast()) {
    grow();
  }
  if (inUse) {
    maybeRefresh(aNow);
  } else {
    decayUnused();
  }
}

bool
ConcurrencyWindow::fullIsFast() const
{
  const std::size_t enough = std::max(kMinSamples, mSinceChange / kFullPart);
  if (mFullSamples.size() < enough) {
    return false;
  }
  return medianOf(mFullSamples) <= kGrowRatio * *mBaseline + kGrowSlackMs;
}

void
ConcurrencyWindow::forgetFull()
{
  mFullSamples.clear();
  mSinceChange = 0;
}

void
ConcurrencyWindow::grow()
{
  forgetFull();
  const double next = mSlowStart
                        ? std::max(mSize * kSlowStartFactor, mSize + kIncrease)
                        : mSize + kIncrease;
  mSize = std::min(next, static_cast<double>(mMax));
}

void
ConcurrencyWindow::decayUnused()
{
  // Room that was not used lately says nothing of what the upstream bears now
  // (congestion window validation, RFC 7661).
  const double used = mMostInFlight;
  const double target = std::max(kStartSize, used * kUnusedRoom + kIncrease);
  if (mSize > target) {
    mSize = std::max(target, mSize * kUnusedFactor);
  }
}

void
ConcurrencyWindow::shrink(double aFactor, Millis aNow)
{
  mSlowStart = false;
  if (aNow - mLastShrink < kShrinkPause) {
    return;
  }
  mLastShrink = aNow;
  forgetFull();
  mSize = std::max(kStartSize, mSize * aFactor);
  if (mSizeAfterRefresh) {
    mSizeAfterRefresh = std::max(kStartSize, *mSizeAfterRefresh * aFactor);
  }
}

Millis
ConcurrencyWindow::refreshInterval(Millis aNow) const
{
  const Millis part = (aNow - mColdAt) / kRefreshPart;
  return std::clamp(part, kMinRefreshInterval, kMaxRefreshInterval);
}

void
ConcurrencyWindow::maybeRefresh(Millis aNow)
{
  if (aNow < mNextRefresh || mSize <= kStartSize) {
    return;
  }
  mNextRefresh = aNow + refreshInterval(aNow);
  forgetFull();
  mSizeAfterRefresh = mSize;
  mSize = std::max(kStartSize, mSize * kRefreshFactor);
  mCountsFrom = aNow;
}

void
ConcurrencyWindow::onShed(Millis aNow)
{
  shrink(kShedFactor, aNow);
}

void
ConcurrencyWindow::onTimeout(Millis aAge, Millis aNow)
{
  const double age = static_cast<double>(aAge.mCount);
  mExpected = std::max(mExpected, age * kTimeoutGrowth + 1);
  // One that was sent with little time left tells nothing of the load.
  const bool slow = mBaseline && age > kColdRatio * *mBaseline + kColdSlackMs;
  if (slow) {
    shrink(kTimeoutFactor, aNow);
  }
}

Millis
ConcurrencyWindow::expectedTime() const
{
  const double safe = mExpected * kExpectedMargin;
  return Millis{ static_cast<std::int64_t>(std::ceil(safe)) };
}

void
ConcurrencyWindow::noteExpected()
{
  const std::size_t rank = mSamples.size() * kExpectedPercent / 100;
  const auto place = mSamples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(mSamples.begin(), place, mSamples.end());
  mExpected += kExpectedGain * (*place - mExpected);
}

ConcurrencyWindow::Ages
ConcurrencyWindow::ages() const
{
  constexpr Millis kNever{ std::numeric_limits<std::int64_t>::max() };
  if (!mBaseline) {
    return { kNever, kNever };
  }
  const auto age = [this](double aRatio, double aSlackMs) {
    const double count = aRatio * *mBaseline + aSlackMs;
    return Millis{ static_cast<std::int64_t>(std::ceil(count)) };
  };
  return { age(kLateRatio, kLateSlackMs), age(kColdRatio, kColdSlackMs) };
}

bool
ConcurrencyWindow::answersFast(Millis aNow) const
{
  const double since = static_cast<double>((aNow - mLastFast).mCount);
  return mBaseline && since < kFastAnswerRatio * *mBaseline;
}

bool
ConcurrencyWindow::onPending(const Pending& aPending, Millis aNow)
{
  const auto most = [&aPending](std::uint32_t aCount) {
    return aCount >= kLeastPending && aCount * 2 >= aPending.mAll;
  };
  mHold = most(aPending.mLate);
  const bool cold = most(aPending.mCold) && !answersFast(aNow);
  if (cold) {
    onCold(aNow);
  }
  return cold;
}

void
ConcurrencyWindow::onLoadReport(const LoadReading& aReading)
{
  mReading = aReading;
}

}

#include "radishroad/policy/adaptive_concurrency.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace radishroad {

namespace {

constexpr double kStartShare = 0.5;
constexpr double kLowestShare = 1.0 / 3;
/// A run belongs to a full upstream if so much of the limit was in use when it
/// started.
constexpr double kCrowdedShare = 0.7;

/// A round ends after this time with enough runs. Two rounds of usual runs
/// (190 ms) fit in the half second within which a change must be followed.
constexpr Millis kRoundTime{ 120 };
constexpr std::size_t kMinRuns = 6;
/// With fewer runs than this, only a clear share decides.
constexpr std::size_t kEnoughRuns = 12;
/// Runs for the check whether a reduction has cost throughput.
constexpr std::size_t kMinRunsForUndo = 8;
constexpr std::size_t kMaxSettledRatios = 200;
/// Evidence older than this is dropped without a verdict.
constexpr Millis kMaxRoundTime{ 3000 };

/// A run is slow if it takes this many times what 75 of 100 runs of its kind
/// need; a round is slow if so many of its runs are. A sign test: a few long
/// runs do not decide.
constexpr double kSlowRatio = 1.3;
constexpr double kSlowShare = 0.6;
constexpr double kClearSlowShare = 0.8;
constexpr double kFastShare = 0.35;
/// The limit also grows after this many rounds that were not slow.
constexpr std::uint32_t kRoundsToGrow = 6;
/// Runs that overlap a phase of reported slowness are no evidence, since it is
/// not known for how much of a run it lasted. In a phase longer than
/// kMaxSlowMoment the reported factor is divided out instead, so that an
/// upstream that always reports slowness is still limited.
constexpr double kReportedSlow = 1.2;
constexpr Millis kMaxSlowMoment{ 1500 };
constexpr Millis kMinGrowInterval{ 300 };
constexpr double kReduceFactor = 0.75;
/// A reduction that leaves less than this of the throughput is undone.
constexpr double kMinThroughput = 0.8;
/// Single times count at most this much in the throughput.
constexpr double kMaxRatio = 6;
/// After this time the throughput before a reduction is no measure any more.
constexpr Millis kMaxSeries{ 10000 };
/// The first runs to end after a change are the short ones. The throughput is
/// therefore taken from runs that end later than so many mean run times.
constexpr double kSettleRuns = 1.5;
constexpr Millis kMinUndoHold{ 3000 };
constexpr Millis kMaxUndoHold{ 24000 };

/// Pause before the concurrency that was too high is tried again.
constexpr Millis kRetryCeiling{ 2500 };
/// Until then the limit grows only to this share of the one that was too high.
constexpr double kCeilingShare = 0.85;

/// Weight of a run in the smoothed ratio.
constexpr double kRatioGain = 0.12;

/// Interval of the measurements of usual run times. They lower the limit for a
/// moment, since an upstream that is always full shows slow runs only.
constexpr Millis kFirstMeasurement{ 3000 };
constexpr Millis kMeasurementInterval{ 15000 };
/// After a reduction was undone, the usual times include slow runs until the
/// next measurement, which therefore comes soon.
constexpr Millis kMeasurementAfterUndo{ 2000 };
constexpr Millis kMaxMeasurement{ 3000 };
constexpr double kMeasurementShare = 0.6;
/// Measured times below this factor replace the usual ones.
constexpr double kMeasuredLower = 0.85;
/// Above this factor, a measurement lowers them by one step only, since few
/// runs of widely spread times give an uncertain quantile.
constexpr double kFarLower = 0.5;

constexpr double kCountDecay = 0.99;

void
smooth(double& aMean, double aValue)
{
  aMean = aMean == 0 ? aValue : aMean + kRatioGain * (aValue - aMean);
}

/// What UsualRunTimes::kQuantile of the values do not exceed.
double
usualOf(std::vector<double> aValues)
{
  const double rank =
    static_cast<double>(aValues.size()) * UsualRunTimes::kQuantile;
  const auto place = aValues.begin() + static_cast<std::ptrdiff_t>(rank);
  std::ranges::nth_element(aValues, place);
  return *place;
}

double
meanOf(std::span<const double> aValues)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += std::min(value, kMaxRatio);
  }
  return aValues.empty() ? 1 : sum / static_cast<double>(aValues.size());
}

}

void
AdaptiveConcurrency::setSlots(std::uint32_t aSlots)
{
  const std::uint32_t slots = std::max(1U, aSlots);
  if (slots == mSlots) {
    return;
  }
  mSlots = slots;
  if (mNextMeasurement == Millis{}) {
    reset();
    return;
  }
  // Reports may alternate; what has been learned remains valid.
  mLimit = std::clamp(mLimit, lowest(), static_cast<double>(slots));
  mCeiling = slots;
}

void
AdaptiveConcurrency::reset()
{
  const std::uint32_t slots = mSlots;
  const std::uint64_t reductions = mReductions;
  const std::uint64_t undone = mUndone;
  *this = AdaptiveConcurrency();
  mSlots = slots;
  mReductions = reductions;
  mUndone = undone;
  mLimit = startLimit();
  mCeiling = slots;
}

double
AdaptiveConcurrency::startLimit() const
{
  return std::max(lowest(), std::ceil(mSlots * kStartShare));
}

double
AdaptiveConcurrency::lowest() const
{
  return std::max(1.0, std::ceil(mSlots * kLowestShare));
}

std::uint32_t
AdaptiveConcurrency::sustained() const
{
  return static_cast<std::uint32_t>(
    std::clamp(mLimit, 1.0, static_cast<double>(mSlots)));
}

std::uint32_t
AdaptiveConcurrency::limit() const
{
  if (!mIsMeasuring) {
    return sustained();
  }
  return static_cast<std::uint32_t>(
    std::max(lowest(), std::floor(mLimit * kMeasurementShare)));
}

bool
AdaptiveConcurrency::isCrowded(const Run& aRun) const
{
  return aRun.mInFlight >= std::ceil(mLimit * kCrowdedShare);
}

void
AdaptiveConcurrency::onStart(Millis aNow)
{
  if (mNextMeasurement == Millis{}) {
    mNextMeasurement = aNow + kFirstMeasurement;
    mRoundStart = aNow;
  }
}

void
AdaptiveConcurrency::onEnd(const Run& aRun, Millis aNow)
{
  const bool crowded = isCrowded(aRun);
  mRuns[crowded] = mRuns[crowded] * kCountDecay + 1;
  mFailures[crowded] *= kCountDecay;
  switch (aRun.mOutcome) {
    case Outcome::Reset:
    case Outcome::Refused:
      onOverload(aRun, aNow);
      return;
    case Outcome::Failed:
      countFailure(aRun, aNow);
      return;
    case Outcome::Answered:
      break;
  }
  noteSlowness(aRun.mSlowness, aNow);
  const double took =
    std::max(1.0, static_cast<double>((aNow - aRun.mStartedAt).mCount)) /
    std::max(1.0, aRun.mSlowness);
  addTime(aRun, took);
  if (overlapsSlowMoment(aRun)) {
    return;
  }
  const std::optional<double> usual = mTimes.usualMs(aRun.mKind);
  if (!usual || !(crowded || mIsMeasuring)) {
    return;
  }
  const double ratio = took / *usual;
  smooth(mRecentRatio, std::min(ratio, kMaxRatio));
  if (aRun.mStartedAt < mChangedAt) {
    if (aRun.mStartedAt < mReducedAt) {
      mRatiosBefore.push_back(ratio);
    }
    return;
  }
  const double since = static_cast<double>((aNow - mLimitSince).mCount);
  if (since > kSettleRuns * mTimes.expectedMs() &&
      mSettledRatios.size() < kMaxSettledRatios) {
    mSettledRatios.push_back(ratio);
  }
  if (mIsMeasuring) {
    endMeasurement(aNow);
  } else {
    mJudged.push_back({ *judgedAt(aRun), ratio > kSlowRatio });
  }
}

std::optional<Millis>
AdaptiveConcurrency::judgedAt(const Run& aRun) const
{
  const std::optional<double> usual = mTimes.usualMs(aRun.mKind);
  if (!usual) {
    return std::nullopt;
  }
  const double late = kSlowRatio * *usual * std::max(1.0, aRun.mSlowness);
  return aRun.mStartedAt + Millis{ static_cast<std::int64_t>(late) };
}

void
AdaptiveConcurrency::onPending(std::span<const Run> aRuns, Millis aNow)
{
  if (!aRuns.empty()) {
    noteSlowness(aRuns.front().mSlowness, aNow);
  }
  if (mIsMeasuring) {
    endMeasurement(aNow);
    return;
  }
  if (aNow - mRoundStart < kRoundTime) {
    return;
  }
  std::size_t judged = 0;
  std::size_t slow = 0;
  for (const Judged& run : mJudged) {
    // Slow runs that were late before this round were counted as unfinished.
    if (run.mAt >= mRoundStart && run.mAt < aNow) {
      ++judged;
      slow += run.mIsSlow ? 1 : 0;
    }
  }
  for (const Run& run : aRuns) {
    const bool isEvidence = run.mStartedAt >= mChangedAt && isCrowded(run) &&
                            !overlapsSlowMoment(run);
    if (!isEvidence) {
      continue;
    }
    const std::optional<Millis> at = judgedAt(run);
    if (at && *at >= mRoundStart && *at < aNow) {
      ++judged;
      ++slow;
    }
  }
  const double slowShare =
    judged > 0 ? static_cast<double>(slow) / static_cast<double>(judged) : 0;
  const bool isClear = slowShare < kFastShare || slowShare > kClearSlowShare;
  const bool isEnough =
    judged >= kEnoughRuns || (judged >= kMinRuns && isClear);
  const bool outdated = aNow - mRoundStart > kMaxRoundTime;
  if (!isEnough && !outdated) {
    return;
  }
  std::erase_if(mJudged,
                [aNow](const Judged& aRun) { return aRun.mAt < aNow; });
  mRoundStart = aNow;
  if (isEnough) {
    endRound(slowShare, aNow);
  }
}

void
AdaptiveConcurrency::noteSlowness(double aSlowness, Millis aNow)
{
  if (aSlowness < kReportedSlow) {
    return;
  }
  if (aNow - mSlowUntil > kMaxSlowMoment) {
    mSlowFrom = aNow;
  }
  mSlowUntil = aNow;
}

bool
AdaptiveConcurrency::overlapsSlowMoment(const Run& aRun) const
{
  return aRun.mStartedAt < mSlowUntil &&
         mSlowUntil - mSlowFrom <= kMaxSlowMoment;
}

void
AdaptiveConcurrency::addTime(const Run& aRun, double aTookMs)
{
  using Change = UsualRunTimes::Change;
  const bool hasRoom = !isCrowded(aRun) || mLimit <= startLimit();
  // Usual times must not follow those of an overfilled upstream.
  mTimes.add(aRun.mKind,
             aTookMs,
             mWasSlow  ? Change::Expected
             : hasRoom ? Change::Fast
                       : Change::Slow);
}

void
AdaptiveConcurrency::endRound(double aSlowShare, Millis aNow)
{
  mWasSlow = aSlowShare > kSlowShare;
  if (losesThroughput()) {
    undo(usualOf(mSettledRatios), aNow);
    return;
  }
  if (mWasSlow) {
    mRoundsNotSlow = 0;
    const bool isChecked =
      mLimit >= mLimitBefore || mSettledRatios.size() >= kMinRunsForUndo;
    if (isChecked && aNow >= mNoReductionUntil && mLimit > lowest()) {
      reduce(mLimit * kReduceFactor, std::max(1.0, mRecentRatio), aNow);
      mRetryCeilingAt = aNow + kRetryCeiling;
    }
    return;
  }
  ++mRoundsNotSlow;
  if (aSlowShare < kFastShare || mRoundsNotSlow >= kRoundsToGrow) {
    mRoundsNotSlow = 0;
    grow(aNow);
  }
}

bool
AdaptiveConcurrency::losesThroughput() const
{
  if (mLimitBefore <= mLimit || mSettledRatios.size() < kMinRunsForUndo) {
    return false;
  }
  // When the reduction was decided, most of the slow runs had not ended.
  const double before = mRatiosBefore.size() >= kMinRuns / 2
                          ? std::max(mRatioBefore, meanOf(mRatiosBefore))
                          : mRatioBefore;
  const double ratio = meanOf(mSettledRatios);
  return mLimit / ratio < kMinThroughput * mLimitBefore / before;
}

void
AdaptiveConcurrency::reduce(double aLimit, double aRatio, Millis aNow)
{
  if (mLimit >= mLimitBefore || aNow - mReducedAt > kMaxSeries) {
    mReducedAt = aNow;
    mLimitBefore = mLimit;
    mRatioBefore = aRatio;
    mRatiosBefore.clear();
  }
  const double limit = std::max(lowest(), std::floor(aLimit));
  mCeiling = std::max(limit + 1, std::floor(mLimit * kCeilingShare));
  ++mReductions;
  setLimit(limit, aNow);
}

void
AdaptiveConcurrency::undo(double aRatio, Millis aNow)
{
  ++mUndone;
  mUndoHold = std::clamp(mUndoHold * 2, kMinUndoHold, kMaxUndoHold);
  mNoReductionUntil = aNow + mUndoHold;
  mNextMeasurement = std::min(mNextMeasurement, aNow + kMeasurementAfterUndo);
  const double limit = mLimitBefore;
  mLimitBefore = 0;
  // The runs are slow at any concurrency, so their times are the usual ones.
  mWasSlow = false;
  mTimes.scale(std::max(1.0, aRatio));
  mCeiling = mSlots;
  setLimit(limit, aNow);
}

void
AdaptiveConcurrency::grow(Millis aNow)
{
  if (mLimit + 1 >= mCeiling && aNow < mRetryCeilingAt) {
    return;
  }
  if (aNow >= mNextMeasurement) {
    mNextMeasurement = aNow + kMeasurementInterval;
    mIsMeasuring = true;
    mMeasuredFrom = aNow;
    setLimit(mLimit, aNow);
    return;
  }
  if (aNow >= mNoReductionUntil + kMaxUndoHold) {
    mUndoHold = {};
  }
  if (mLimit < mSlots && aNow - mLimitSince >= kMinGrowInterval) {
    const double next = std::max(mLimit + 1, std::floor(mLimit * 1.1));
    // Most evidence remains valid after a small step.
    const Millis changedAt = mChangedAt;
    std::vector<Judged> judged = std::move(mJudged);
    setLimit(std::min(next, static_cast<double>(mSlots)), aNow);
    mChangedAt = changedAt;
    mJudged = std::move(judged);
  }
}

void
AdaptiveConcurrency::endMeasurement(Millis aNow)
{
  const bool expired = aNow - mMeasuredFrom > kMaxMeasurement;
  if (mSettledRatios.size() < kMinRunsForUndo && !expired) {
    return;
  }
  if (mSettledRatios.size() >= kMinRunsForUndo) {
    double factor = usualOf(mSettledRatios);
    if (factor < kMeasuredLower) {
      mNextMeasurement = aNow + kMeasurementAfterUndo;
      factor = factor < kFarLower ? factor : kMeasuredLower;
    }
    mTimes.scale(factor <= kMeasuredLower ? factor : 1);
  }
  mIsMeasuring = false;
  setLimit(mLimit, aNow);
}

void
AdaptiveConcurrency::setLimit(double aLimit, Millis aNow)
{
  mLimit = aLimit;
  mChangedAt = aNow;
  mLimitSince = aNow;
  mRoundStart = aNow;
  mJudged.clear();
  mSettledRatios.clear();
  if (mLimit >= mLimitBefore || aNow - mReducedAt > kMaxSeries) {
    mLimitBefore = 0;
  }
}

}

#include "radishroad/policy/rollout_controller.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Part of the limit that the plan uses. The rest covers errors of the expected
/// number of requests.
constexpr double kUsableLimit = 0.85;
/// Parts of the limit that are spent while the share is held and after the
/// completion.
constexpr double kHoldPart = 0.2;
constexpr double kFinalPart = 0.5;
/// Part of the duration in which the share is raised, at its end.
constexpr double kRaisePart = 0.2;
/// Time before the deadline at which the rollout is completed. The lower limit
/// leaves time to write the step and the status to the store.
constexpr Millis kMinFinalTime{ 400 };
constexpr Millis kMaxFinalTime{ 2000 };
constexpr Millis kMinRaiseInterval{ 300 };
/// Outcomes are known only once the run has ended and its member has reported.
constexpr double kReportLagSeconds = 1;
/// More than two intervals of the reports, which have to come every 500 ms.
constexpr Millis kFreshTime{ 1200 };
constexpr std::uint64_t kMinEvidence = 20;
constexpr std::uint64_t kMinEvidencePerRaise = 10;
constexpr double kMaxHoldShare = 0.25;
constexpr double kMaxRaisedShare = 0.5;
constexpr double kMillisPerSecond = 1000;

double
toSeconds(Millis aTime)
{
  return static_cast<double>(std::max<std::int64_t>(aTime.mCount, 0)) /
         kMillisPerSecond;
}

std::uint32_t
toPermille(double aShare)
{
  return static_cast<std::uint32_t>(std::clamp(aShare, 0.0, 1.0) *
                                    kFullSharePermille);
}

}

/// What may be spent, in requests and requests per second.
struct RolloutController::Plan
{
  Millis mRemaining;
  Millis mFinalTime;
  Millis mRaiseTime;
  Millis mRaiseInterval;
  double mRate = 0;
  double mExpected = 0;
  double mLimit = 0;
  /// Requests at the new version, with those that are not reported yet.
  double mExposed = 0;

  bool isTimeToComplete() const { return mRemaining <= mFinalTime; }
  bool isTimeToRaise() const { return mRemaining <= mRaiseTime; }

  double holdShare() const
  {
    if (mExpected <= 0) {
      return kMaxHoldShare;
    }
    return std::min(kHoldPart * mLimit / mExpected, kMaxHoldShare);
  }

  /// Highest share that keeps the exposure within the limit if it lasts until
  /// the completion, and everything goes to the new version from then on.
  double affordableShare() const
  {
    const double final = mRate * toSeconds(mFinalTime);
    const double raising = mRate * toSeconds(mRemaining - mFinalTime);
    const double left = std::max(mLimit - mExposed - final, 0.0);
    return raising <= 0 ? kMaxRaisedShare
                        : std::min(left / raising, kMaxRaisedShare);
  }
};

RolloutController::RolloutController(double aExposeShare,
                                     std::uint32_t aExposeSlack)
  : mExposeShare(aExposeShare)
  , mExposeSlack(aExposeSlack)
{
}

void
RolloutController::addOutcomes(std::span<const RolloutOutcomes> aOutcomes,
                               Millis aNow)
{
  for (const RolloutOutcomes& each : aOutcomes) {
    (each.mIsNew ? mNewReportAt : mOldReportAt) = aNow;
  }
  mEvidence.add(aOutcomes, aNow);
}

RolloutProgress
RolloutController::start(const RolloutObservation& aObservation, Millis aNow)
{
  RolloutProgress progress;
  progress.mOrderId = aObservation.mOrder->mId;
  progress.mState = RolloutState::Running;
  progress.mStartedAt = std::min(aObservation.mOrderedAt, aNow);
  return progress;
}

RolloutProgress
RolloutController::rollBack(RolloutProgress aProgress, const char* aReason)
{
  mReason = aReason;
  aProgress.mState = RolloutState::RolledBack;
  aProgress.mSharePermille = 0;
  return aProgress;
}

void
RolloutController::count(RolloutProgress& aProgress)
{
  // Counted from the base, so that a result that was not stored is not lost.
  aProgress.mRequests =
    std::max(aProgress.mRequests, mBase.mRequests + mEvidence.requests());
  aProgress.mExposed =
    std::max(aProgress.mExposed, mBase.mExposed + mEvidence.newRequests());
  aProgress.mBad =
    std::max(aProgress.mBad, mBase.mBad + mEvidence.newFailures());
}

RolloutController::Plan
RolloutController::makePlan(const RolloutProgress& aProgress,
                            const RolloutOrder& aOrder,
                            Millis aNow) const
{
  Plan plan;
  const Millis elapsed = aNow - aProgress.mStartedAt;
  plan.mRemaining = aOrder.mDuration - elapsed;
  const auto duration = static_cast<double>(aOrder.mDuration.mCount);
  plan.mFinalTime = std::clamp(Millis{ static_cast<std::int64_t>(std::floor(
                                 kFinalPart * mExposeShare * duration)) },
                               kMinFinalTime,
                               kMaxFinalTime);
  plan.mRaiseTime =
    plan.mFinalTime +
    Millis{ static_cast<std::int64_t>(std::floor(kRaisePart * duration)) };
  plan.mRaiseInterval = std::max(plan.mRaiseTime / 6, kMinRaiseInterval);
  plan.mRate = mEvidence.rate(aNow);
  if (plan.mRate <= 0 && toSeconds(elapsed) > 0) {
    plan.mRate = static_cast<double>(aProgress.mRequests) / toSeconds(elapsed);
  }
  plan.mExpected = static_cast<double>(aProgress.mRequests) +
                   plan.mRate * toSeconds(plan.mRemaining);
  plan.mLimit = kUsableLimit * (mExposeShare * plan.mExpected + mExposeSlack);
  plan.mExposed = static_cast<double>(aProgress.mExposed) +
                  plan.mRate * kReportLagSeconds * aProgress.mSharePermille /
                    kFullSharePermille;
  return plan;
}

bool
RolloutController::isFresh(Millis aNow) const
{
  return mOldReportAt && mNewReportAt && aNow - *mOldReportAt <= kFreshTime &&
         aNow - *mNewReportAt <= kFreshTime;
}

bool
RolloutController::hasSufficientEvidence() const
{
  // A service with little traffic cannot give more.
  const std::uint64_t wanted =
    std::min(kMinEvidence, (mEvidence.requests() + 19) / 20);
  // A predecessor saw no reason to roll back in what it counted, but that may
  // have changed since.
  return mBase.mExposed + mEvidence.newRequests() >= wanted &&
         mEvidence.newRequests() >= wanted / 4;
}

std::uint32_t
RolloutController::nextShare(const RolloutProgress& aProgress,
                             const Plan& aPlan,
                             Millis aNow)
{
  const std::uint32_t present = aProgress.mSharePermille;
  if (aPlan.mExposed >= aPlan.mLimit && aPlan.mExpected > 0 &&
      !aPlan.isTimeToRaise()) {
    return 0;
  }
  if (!aPlan.isTimeToRaise()) {
    // Without a report the first requests are what brings evidence.
    const bool mayChange = present == 0 || isFresh(aNow);
    const std::uint32_t hold =
      std::max(toPermille(aPlan.holdShare()), std::uint32_t{ 1 });
    // Small changes are not worth a write.
    const bool differs = hold * 4 < present * 3 || hold * 3 > present * 4;
    return mayChange && differs ? hold : present;
  }
  const std::uint32_t affordable = toPermille(aPlan.affordableShare());
  const std::uint32_t wanted =
    std::min(std::max(present * 2, std::uint32_t{ 1 }), affordable);
  if (wanted <= present) {
    // Lowered only as far as the limit requires.
    return affordable * 4 < present * 3 ? std::max(affordable, 1U) : present;
  }
  const std::uint64_t added = mEvidence.newRequests() - mNewRequestsAtRaise;
  const bool mayRaise = isFresh(aNow) && hasSufficientEvidence() &&
                        aNow - mRaisedAt >= aPlan.mRaiseInterval &&
                        added >= kMinEvidencePerRaise;
  if (!mayRaise) {
    return present;
  }
  mRaisedAt = aNow;
  mNewRequestsAtRaise = mEvidence.newRequests();
  return wanted;
}

RolloutProgress
RolloutController::decide(const RolloutProgress& aProgress,
                          const RolloutObservation& aObservation,
                          Millis aNow)
{
  RolloutProgress next = aProgress;
  const bool isRunning = aProgress.mState == RolloutState::Running;
  if (!aObservation.mOrder) {
    return isRunning ? rollBack(next, "request_removed") : next;
  }
  const RolloutOrder& order = *aObservation.mOrder;
  if (aProgress.mOrderId != order.mId) {
    next = start(aObservation, aNow);
  } else if (!isRunning) {
    return next;
  }
  if (mOrderId != order.mId) {
    mOrderId = order.mId;
    mBase = next;
    mEvidence = {};
    mNewReportAt.reset();
    mOldReportAt.reset();
    mRaisedAt = {};
    mNewRequestsAtRaise = 0;
  }
  count(next);
  if (mEvidence.hasMoreFailures()) {
    return rollBack(next, "failures");
  }
  if (mEvidence.hasMoreSlowResponses()) {
    return rollBack(next, "slow_responses");
  }
  const Plan plan = makePlan(next, order, aNow);
  // Beyond this the rollout has no prospect, and the old upstreams serve.
  if (plan.mRemaining < Millis{} - order.mDuration / 2) {
    return rollBack(next, "no_evidence");
  }
  if (aObservation.mNewMembers == 0) {
    if (plan.mRemaining <= Millis{}) {
      return rollBack(next, "no_new_upstream");
    }
    next.mSharePermille = 0;
    return next;
  }
  if (plan.isTimeToComplete() && isFresh(aNow) && hasSufficientEvidence()) {
    next.mSharePermille = kFullSharePermille;
    if (aObservation.mHasMovedAllKeys) {
      next.mState = RolloutState::Completed;
    }
    return next;
  }
  // A full share is kept: the keys are on their way to the new members.
  if (next.mSharePermille < kFullSharePermille) {
    next.mSharePermille = nextShare(next, plan, aNow);
  }
  return next;
}

}

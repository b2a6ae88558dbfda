#include "radishroad/state/fold_rules.h"
#include "radishroad/state/limits.h"

namespace radishroad::rules {

namespace {

bool
isActive(const CellState& aState, Incarnation aMember)
{
  const auto it = aState.mMembers.find(aMember);
  return it != aState.mMembers.end() &&
         it->second.mStatus == MemberStatus::Active;
}

bool
isValidState(std::uint8_t aState)
{
  return aState >= static_cast<std::uint8_t>(RolloutState::Running) &&
         aState <= static_cast<std::uint8_t>(RolloutState::RolledBack);
}

}

bool
apply(CellState& aState, const wire::RolloutStepT& aChange)
{
  Rollout& rollout = aState.mRollout;
  const bool isValid =
    !aChange.to.empty() && aChange.to.size() <= kMaxNameBytes &&
    isValidState(aChange.state) && aChange.share_permille <= kFullSharePermille;
  if (!isValid || aChange.base_step != rollout.mStep ||
      !isActive(aState, aChange.proposer)) {
    return false;
  }
  // The outcome of a rollout is final.
  const bool isSameOrder = aChange.order_id == rollout.mProgress.mOrderId;
  if (isSameOrder && rollout.mStep != 0 &&
      rollout.mProgress.mState != RolloutState::Running) {
    return false;
  }
  ++rollout.mStep;
  rollout.mTo = aChange.to;
  rollout.mProgress.mOrderId = aChange.order_id;
  rollout.mProgress.mState = static_cast<RolloutState>(aChange.state);
  rollout.mProgress.mSharePermille = aChange.share_permille;
  rollout.mProgress.mStartedAt = { aChange.started_ms };
  rollout.mProgress.mRequests = aChange.requests;
  rollout.mProgress.mExposed = aChange.exposed;
  rollout.mProgress.mBad = aChange.bad;
  return true;
}

}

#include "radishroad/ownership/expulsion_controller.h"

#include "radishroad/base/hash.h"

#include <algorithm>

namespace radishroad {

namespace {

bool
isWitnessedBy(const Member& aMember, Incarnation aWitness)
{
  return aMember.mStatus == MemberStatus::Active &&
         std::ranges::find(aMember.mWitnesses, aWitness) !=
           aMember.mWitnesses.end();
}

/// Whether the log has superseded a lease, so that no expulsion can be based on
/// it any more.
bool
isSuperseded(const CellState& aState, LeaseId aLeaseId)
{
  const auto it = aState.mMembers.find(aLeaseId.mIncarnation);
  return it != aState.mMembers.end() &&
         (it->second.mStatus != MemberStatus::Active ||
          it->second.mWitnessVersion > aLeaseId.mVersion);
}

std::set<Incarnation>
activeMembers(const CellState& aState)
{
  std::set<Incarnation> active;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (member.mStatus == MemberStatus::Active) {
      active.insert(incarnation);
    }
  }
  return active;
}

}

ExpulsionController::ExpulsionController(Incarnation aSelf)
  : mSelf(aSelf)
  , mProposer(aSelf)
{
}

void
ExpulsionController::onState(const CellState& aState, Millis aNow)
{
  std::set<LeaseId> witnessed;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (isWitnessedBy(member, mSelf)) {
      witnessed.insert({ incarnation, member.mWitnessVersion });
    }
  }
  for (const LeaseId& leaseId : witnessed) {
    if (!mWitnessedLeases.contains(leaseId)) {
      mWitness.expectRenewal(leaseId, aNow);
    }
  }
  for (const LeaseId& leaseId : mWitnessedLeases) {
    if (!witnessed.contains(leaseId)) {
      mProposer.remove(leaseId);
      mSuspectedSince.erase(leaseId);
    }
  }
  mWitnessedLeases = std::move(witnessed);
  mActiveMembers = activeMembers(aState);
  const auto isStale = [&aState](LeaseId aLeaseId) {
    return isSuperseded(aState, aLeaseId);
  };
  mWitness.removeIf(isStale);
  mPromiseFeedback.removeIf(isStale);
}

RenewalAnswer
ExpulsionController::onRenew(const ReceivedRenewal& aRenewal, Millis aNow)
{
  mWitness.onAcknowledgement(aRenewal);
  // The consents that expelled a member are removed once its expulsion is
  // folded, but the member may not have read its expulsion yet.
  if (!mActiveMembers.contains(aRenewal.mLeaseId.mIncarnation)) {
    return RenewalAnswer::None;
  }
  if (!mPromiseFeedback.shouldPromise(aRenewal)) {
    return RenewalAnswer::Withheld;
  }
  return mWitness.onRenew(aRenewal, aNow) ? RenewalAnswer::Promised
                                          : RenewalAnswer::None;
}

Witness::ConsentAnswer
ExpulsionController::onConsentAsk(LeaseId aLeaseId, Millis aNow)
{
  return mWitness.onConsentAsk(aLeaseId, aNow);
}

void
ExpulsionController::onConsent(LeaseId aLeaseId,
                               Incarnation aWitness,
                               const Witness::ConsentAnswer& aAnswer,
                               Millis aNow)
{
  if (aAnswer.mGranted) {
    mProposer.onConsent(aLeaseId, aWitness);
  } else {
    mProposer.onRefusal(aLeaseId, aAnswer.mWait, aNow);
  }
}

ExpulsionController::Actions
ExpulsionController::step(const CellState& aState,
                          bool aLogAvailable,
                          Millis aNow)
{
  Actions actions;
  const std::vector<LeaseId> suspects = mWitness.suspects(aNow);
  std::erase_if(mSuspectedSince, [&suspects](const auto& aEntry) {
    return !std::ranges::binary_search(suspects, aEntry.first);
  });
  for (const LeaseId& leaseId : suspects) {
    const auto it = aState.mMembers.find(leaseId.mIncarnation);
    if (!mWitnessedLeases.contains(leaseId) || it == aState.mMembers.end()) {
      continue;
    }
    const Millis since =
      mSuspectedSince.try_emplace(leaseId, aNow).first->second;
    if (aNow - since >= rankDelay(it->second)) {
      attemptExpulsion(it->second, aLogAvailable, aNow, actions);
    }
  }
  return actions;
}

void
ExpulsionController::attemptExpulsion(const Member& aMember,
                                      bool aLogAvailable,
                                      Millis aNow,
                                      Actions& aActions)
{
  const LeaseId leaseId{ aMember.mIncarnation, aMember.mWitnessVersion };
  for (const Incarnation witness : mProposer.attemptExpulsion(aMember, aNow)) {
    if (witness != mSelf) {
      aActions.mConsentRequests.push_back({ witness, leaseId });
    } else if (mWitness.onConsentAsk(leaseId, aNow).mGranted) {
      mProposer.onConsent(leaseId, mSelf);
    }
  }
  if (!aLogAvailable) {
    return;
  }
  std::optional<wire::ExpelT> expel = mProposer.proposal(aMember, aNow);
  if (expel) {
    aActions.mExpels.push_back(std::move(*expel));
  }
}

Millis
ExpulsionController::rankDelay(const Member& aMember) const
{
  const std::uint64_t own = hashPair(aMember.mIncarnation, mSelf);
  const std::ptrdiff_t rank =
    std::ranges::count_if(aMember.mWitnesses, [&](Incarnation aWitness) {
      return hashPair(aMember.mIncarnation, aWitness) < own;
    });
  return kProposerRankDelay * rank;
}

std::set<Incarnation>
ExpulsionController::suspects(Millis aNow) const
{
  std::set<Incarnation> members;
  for (const LeaseId& leaseId : mWitness.suspects(aNow)) {
    // A renewal may arrive after its lease was replaced. That lease is never
    // renewed again, so its expiry says nothing about the member.
    if (mWitnessedLeases.contains(leaseId)) {
      members.insert(leaseId.mIncarnation);
    }
  }
  return members;
}

}

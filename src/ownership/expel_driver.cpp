#include "radishroad/ownership/expel_driver.h"

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

/// Whether the log has gone past a label, so that no expulsion can build on
/// it any more.
bool
isPast(const CellState& aState, LeaseLabel aLabel)
{
  const auto it = aState.mMembers.find(aLabel.mIncarnation);
  return it != aState.mMembers.end() &&
         (it->second.mStatus != MemberStatus::Active ||
          it->second.mWitnessVersion > aLabel.mVersion);
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

ExpelDriver::ExpelDriver(Incarnation aSelf)
  : mSelf(aSelf)
  , mProposer(aSelf)
{
}

void
ExpelDriver::onState(const CellState& aState, Millis aNow)
{
  std::set<LeaseLabel> current;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (isWitnessedBy(member, mSelf)) {
      current.insert({ incarnation, member.mWitnessVersion });
    }
  }
  for (const LeaseLabel& label : current) {
    if (!mCurrent.contains(label)) {
      mWitness.expect(label, aNow);
    }
  }
  for (const LeaseLabel& label : mCurrent) {
    if (!current.contains(label)) {
      mProposer.forget(label);
      mSuspectedSince.erase(label);
    }
  }
  mCurrent = std::move(current);
  mActive = activeMembers(aState);
  const auto isStale = [&aState](LeaseLabel aLabel) {
    return isPast(aState, aLabel);
  };
  mWitness.forgetIf(isStale);
  mFeedback.forgetIf(isStale);
}

RenewalAnswer
ExpelDriver::onRenew(const ReceivedRenewal& aRenewal, Millis aNow)
{
  mWitness.onFeedback(aRenewal);
  // The consents that expelled a member are forgotten once that is folded, and
  // it may not have read its end yet.
  if (!mActive.contains(aRenewal.mLabel.mIncarnation)) {
    return RenewalAnswer::None;
  }
  if (!mFeedback.shouldPromise(aRenewal)) {
    return RenewalAnswer::Withheld;
  }
  return mWitness.onRenew(aRenewal, aNow) ? RenewalAnswer::Promised
                                          : RenewalAnswer::None;
}

Witness::ConsentAnswer
ExpelDriver::onConsentAsk(LeaseLabel aLabel, Millis aNow)
{
  return mWitness.onConsentAsk(aLabel, aNow);
}

void
ExpelDriver::onConsent(LeaseLabel aLabel,
                       Incarnation aWitness,
                       const Witness::ConsentAnswer& aAnswer,
                       Millis aNow)
{
  if (aAnswer.mGranted) {
    mProposer.onConsent(aLabel, aWitness);
  } else {
    mProposer.onRefusal(aLabel, aAnswer.mWait, aNow);
  }
}

ExpelDriver::Actions
ExpelDriver::step(const CellState& aState, bool aMayAppend, Millis aNow)
{
  Actions actions;
  const std::vector<LeaseLabel> suspects = mWitness.suspects(aNow);
  std::erase_if(mSuspectedSince, [&suspects](const auto& aEntry) {
    return !std::ranges::binary_search(suspects, aEntry.first);
  });
  for (const LeaseLabel& label : suspects) {
    const auto it = aState.mMembers.find(label.mIncarnation);
    if (!mCurrent.contains(label) || it == aState.mMembers.end()) {
      continue;
    }
    const Millis since = mSuspectedSince.try_emplace(label, aNow).first->second;
    if (aNow - since >= rankDelay(it->second)) {
      pursue(it->second, aMayAppend, aNow, actions);
    }
  }
  return actions;
}

void
ExpelDriver::pursue(const Member& aMember,
                    bool aMayAppend,
                    Millis aNow,
                    Actions& aActions)
{
  const LeaseLabel label{ aMember.mIncarnation, aMember.mWitnessVersion };
  for (const Incarnation witness : mProposer.pursue(aMember, aNow)) {
    if (witness != mSelf) {
      aActions.mAsks.push_back({ witness, label });
    } else if (mWitness.onConsentAsk(label, aNow).mGranted) {
      mProposer.onConsent(label, mSelf);
    }
  }
  if (!aMayAppend) {
    return;
  }
  std::optional<wire::ExpelT> expel = mProposer.proposal(aMember, aNow);
  if (expel) {
    aActions.mExpels.push_back(std::move(*expel));
  }
}

Millis
ExpelDriver::rankDelay(const Member& aMember) const
{
  const std::uint64_t own = hashPair(aMember.mIncarnation, mSelf);
  const std::ptrdiff_t rank =
    std::ranges::count_if(aMember.mWitnesses, [&](Incarnation aWitness) {
      return hashPair(aMember.mIncarnation, aWitness) < own;
    });
  return kRankDelay * rank;
}

std::set<Incarnation>
ExpelDriver::suspects(Millis aNow) const
{
  std::set<Incarnation> members;
  for (const LeaseLabel& label : mWitness.suspects(aNow)) {
    // A renewal may arrive after its label has been replaced. Nothing renews
    // that label again, and its lapse says nothing of the member.
    if (mCurrent.contains(label)) {
      members.insert(label.mIncarnation);
    }
  }
  return members;
}

}

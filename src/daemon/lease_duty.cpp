#include "radishroad/daemon/lease_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/recorder.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace radishroad {

namespace {

constexpr std::size_t kWitnessCount = 3;
/// A witness without a promise for so long is replaced.
constexpr Millis kSilentAfter{ 600 };
/// Least time between two changes of the witness set.
constexpr Millis kReplacementInterval{ 2000 };
/// Wait of a proposer for each place in the witness set before its own.
constexpr Millis kProposerStagger{ 100 };

bool
contains(std::span<const Incarnation> aList, Incarnation aWanted)
{
  return std::find(aList.begin(), aList.end(), aWanted) != aList.end();
}

}

LeaseDuty::LeaseDuty(ControlContext& aContext,
                     LeaseFn aOnLease,
                     PositionsFn aOnPeer)
  : mContext(aContext)
  , mOnLease(std::move(aOnLease))
  , mOnPeer(std::move(aOnPeer))
  , mLease(aContext.mSelf)
  , mProposer(aContext.mSelf)
{
}

void
LeaseDuty::onOwnCell()
{
  const Member* self = mContext.self();
  if (self != nullptr) {
    mLease.adopt(self->mWitnessVersion, self->mWitnesses);
  }
}

void
LeaseDuty::onRenew(Incarnation aFrom, const wire::RenewT& aRenew)
{
  if (aRenew.incarnation != aFrom) {
    return;
  }
  mOnPeer(aFrom, aRenew.positions);
  const LeaseLabel label{ aRenew.incarnation, aRenew.version };
  if (!mWitness.onRenew(label, mContext.mNow())) {
    return;
  }
  wire::PromiseT promise;
  promise.witness = mContext.mSelf;
  promise.incarnation = aRenew.incarnation;
  promise.version = aRenew.version;
  promise.sent_ms = aRenew.sent_ms;
  promise.positions = positions();
  mContext.mSend(aFrom, makeBody(std::move(promise)));
}

void
LeaseDuty::onPromise(const wire::PromiseT& aPromise)
{
  mOnPeer(aPromise.witness, aPromise.positions);
  if (aPromise.incarnation != mContext.mSelf) {
    return;
  }
  mLease.onPromise(
    aPromise.witness, aPromise.version, Millis{ aPromise.sent_ms });
  mOnLease(mContext.self() == nullptr ? Millis{}
                                      : mLease.heldUntil(mContext.mNow()));
}

void
LeaseDuty::onConsentAsk(const wire::ConsentAskT& aAsk)
{
  const LeaseLabel label{ aAsk.incarnation, aAsk.version };
  const Witness::ConsentAnswer answer =
    mWitness.onConsentAsk(label, mContext.mNow());
  wire::ConsentT consent;
  consent.witness = mContext.mSelf;
  consent.incarnation = aAsk.incarnation;
  consent.version = aAsk.version;
  consent.granted = answer.mGranted;
  consent.wait_ms = answer.mWait.mCount;
  mContext.mSend(aAsk.asker, makeBody(std::move(consent)));
}

void
LeaseDuty::onConsent(const wire::ConsentT& aConsent)
{
  if (aConsent.granted) {
    mProposer.onConsent({ aConsent.incarnation, aConsent.version },
                        aConsent.witness);
  }
}

void
LeaseDuty::tick()
{
  const Millis now = mContext.mNow();
  if (mContext.self() != nullptr) {
    sendRenewals(now);
    replaceWitnesses(now);
  }
  mOnLease(mContext.self() == nullptr ? Millis{} : mLease.heldUntil(now));
  watchMembers(now);
  pursueLapsed(now);
}

void
LeaseDuty::sendRenewals(Millis aNow)
{
  for (const LeaseHolder::Renewal& renewal : mLease.renewals(aNow)) {
    wire::RenewT renew;
    renew.incarnation = mContext.mSelf;
    renew.version = renewal.mVersion;
    renew.sent_ms = aNow.mCount;
    renew.positions = positions();
    mContext.mSend(renewal.mWitness, makeBody(std::move(renew)));
  }
}

void
LeaseDuty::watchMembers(Millis aNow)
{
  // A member may die before its first renewal arrives.
  for (const Member& member : mContext.mFleet.activeMembers()) {
    if (!contains(member.mWitnesses, mContext.mSelf)) {
      continue;
    }
    mWitness.expect({ member.mIncarnation, member.mWitnessVersion }, aNow);
  }
}

void
LeaseDuty::pursueLapsed(Millis aNow)
{
  for (const LeaseLabel& label : mWitness.outstanding(aNow)) {
    const Member* member = mContext.mFleet.findMember(label.mIncarnation);
    const bool current = member != nullptr &&
                         member->mStatus == MemberStatus::Active &&
                         member->mWitnessVersion == label.mVersion;
    if (current) {
      pursue(*member, label, aNow);
    } else if (member != nullptr &&
               (member->mStatus != MemberStatus::Active ||
                member->mWitnessVersion > label.mVersion)) {
      mWitness.forget(label);
      mProposer.forget(label);
    }
  }
}

void
LeaseDuty::pursue(const Member& aMember, LeaseLabel aLabel, Millis aNow)
{
  const auto place = std::find(
    aMember.mWitnesses.begin(), aMember.mWitnesses.end(), mContext.mSelf);
  if (place == aMember.mWitnesses.end()) {
    return;
  }
  const std::int64_t rank = place - aMember.mWitnesses.begin();
  if (aNow < mWitness.boundUntil(aLabel) + kProposerStagger * rank) {
    return;
  }
  for (const Incarnation witness : mProposer.pursue(aMember, aNow)) {
    if (witness == mContext.mSelf) {
      if (mWitness.onConsentAsk(aLabel, aNow).mGranted) {
        mProposer.onConsent(aLabel, mContext.mSelf);
      }
      continue;
    }
    wire::ConsentAskT ask;
    ask.asker = mContext.mSelf;
    ask.incarnation = aLabel.mIncarnation;
    ask.version = aLabel.mVersion;
    mContext.mSend(witness, makeBody(std::move(ask)));
  }
  std::optional<wire::ExpelT> expel = mProposer.proposal(aMember, aNow);
  if (!expel) {
    return;
  }
  logEvent(LogLevel::Warn,
           "expel_proposed",
           { { "member_vm", aMember.mVm },
             { "incarnation", std::to_string(aMember.mIncarnation) } });
  mContext.mRecorder.propose(
    cellStream(mContext.mFleet.serviceOf(aMember.mIncarnation)),
    std::move(*expel),
    [](ProposalEnd) {});
}

void
LeaseDuty::replaceWitnesses(Millis aNow)
{
  if (mReplacing || aNow < mNextReplacement) {
    return;
  }
  const Member& self = *mContext.self();
  const std::vector<Member> usable = candidates(aNow);
  const std::size_t kept = static_cast<std::size_t>(
    std::count_if(usable.begin(), usable.end(), [&](const Member& aMember) {
      return contains(self.mWitnesses, aMember.mIncarnation);
    }));
  const bool lost = kept < self.mWitnesses.size();
  const bool wanting = self.mWitnesses.size() < kWitnessCount &&
                       usable.size() > self.mWitnesses.size();
  if (!lost && !wanting) {
    return;
  }
  const std::vector<Incarnation> chosen = chooseWitnesses(
    usable, mContext.mSelf, mContext.mSettings.mZone, kWitnessCount);
  // With nobody in reach the old set stays: an empty one could not be told
  // from a daemon cut off.
  if (chosen.empty() ||
      std::set<Incarnation>(chosen.begin(), chosen.end()) ==
        std::set<Incarnation>(self.mWitnesses.begin(), self.mWitnesses.end())) {
    return;
  }
  wire::RewitnessT change;
  change.incarnation = mContext.mSelf;
  change.base_version = self.mWitnessVersion;
  change.witnesses = chosen;
  mLease.beginChange(chosen);
  mReplacing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      mReplacing = false;
      mNextReplacement = mContext.mNow() + kReplacementInterval;
      if (aEnd == ProposalEnd::Failed) {
        mLease.abandonChange();
      }
    });
}

std::vector<Member>
LeaseDuty::candidates(Millis aNow) const
{
  const std::vector<Incarnation> silent =
    mLease.silentWitnesses(aNow, kSilentAfter);
  std::vector<Member> members = mContext.mFleet.activeMembers();
  std::erase_if(members, [&](const Member& aMember) {
    return aMember.mIncarnation == mContext.mSelf ||
           contains(silent, aMember.mIncarnation);
  });
  return members;
}

std::vector<std::unique_ptr<wire::StreamPositionT>>
LeaseDuty::positions() const
{
  std::vector<std::unique_ptr<wire::StreamPositionT>> list;
  const auto add = [&list](const std::string& aStream, std::uint64_t aNext) {
    std::unique_ptr<wire::StreamPositionT> position =
      std::make_unique<wire::StreamPositionT>();
    position->stream = aStream;
    position->next_offset = aNext;
    list.push_back(std::move(position));
  };
  add(std::string(kConfigStream), mContext.mFleet.config().mNextOffset);
  for (const auto& [service, cell] : mContext.mFleet.cells()) {
    add(cellStream(service), cell->mNextOffset);
  }
  return list;
}

}

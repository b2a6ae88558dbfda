#include "radishroad/daemon/lease_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/lease_log.h"
#include "radishroad/daemon/recorder.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

LeaseDuty::LeaseDuty(ControlContext& aContext,
                     LeaseFn aOnLease,
                     PositionsFn aOnPeer)
  : mContext(aContext)
  , mOnLease(std::move(aOnLease))
  , mOnPeer(std::move(aOnPeer))
  , mLease(aContext.mSelf)
  , mDriver(aContext.mSelf)
  , mKeeper(aContext.mSelf)
{
}

void
LeaseDuty::onOwnCell()
{
  const Member* self = mContext.self();
  if (self != nullptr) {
    mLease.adopt(self->mWitnessVersion, self->mWitnesses);
  }
  mDriver.onState(mContext.mFleet.ownCell(), mContext.mNow());
}

void
LeaseDuty::onRenew(Incarnation aFrom, const wire::RenewT& aRenew)
{
  if (aRenew.incarnation != aFrom) {
    return;
  }
  const ReceivedRenewal renewal{ { aRenew.incarnation, aRenew.version },
                                 Millis{ aRenew.sent_ms },
                                 Millis{ aRenew.heard_sent_ms } };
  const Millis now = mContext.mNow();
  const RenewalAnswer answer = mDriver.onRenew(renewal, now);
  if (answer == RenewalAnswer::None) {
    return;
  }
  wire::PromiseT promise;
  promise.witness = mContext.mSelf;
  promise.incarnation = aRenew.incarnation;
  promise.version = aRenew.version;
  promise.sent_ms = aRenew.sent_ms;
  promise.withheld = answer == RenewalAnswer::Withheld;
  promise.positions = positions();
  logRenewalAnswer(promise, renewal.mAckedSentAt, now);
  mContext.mSend(aFrom, makeBody(std::move(promise)));
}

void
LeaseDuty::onPromise(const wire::PromiseT& aPromise)
{
  mOnPeer(aPromise.witness, aPromise.positions);
  if (aPromise.incarnation != mContext.mSelf) {
    return;
  }
  const Millis now = mContext.mNow();
  const Millis sentAt{ aPromise.sent_ms };
  if (aPromise.withheld) {
    mLease.onWithheld(aPromise.witness, aPromise.version, sentAt);
    return;
  }
  mLease.onPromise(aPromise.witness, aPromise.version, sentAt, now);
  reportLease(now);
}

void
LeaseDuty::onConsentAsk(const wire::ConsentAskT& aAsk)
{
  const LeaseId label{ aAsk.incarnation, aAsk.version };
  const Witness::ConsentAnswer answer =
    mDriver.onConsentAsk(label, mContext.mNow());
  wire::ConsentT consent;
  consent.witness = mContext.mSelf;
  consent.incarnation = aAsk.incarnation;
  consent.version = aAsk.version;
  consent.granted = answer.mGranted;
  consent.wait_ms = answer.mWait.mCount;
  mContext.mSend(aAsk.asker, makeBody(consent));
}

void
LeaseDuty::onConsent(const wire::ConsentT& aConsent)
{
  mDriver.onConsent({ aConsent.incarnation, aConsent.version },
                    aConsent.witness,
                    { aConsent.granted, Millis{ aConsent.wait_ms } },
                    mContext.mNow());
}

std::vector<Incarnation>
LeaseDuty::suspects() const
{
  const std::set<Incarnation> members = mDriver.suspects(mContext.mNow());
  return { members.begin(), members.end() };
}

void
LeaseDuty::tick()
{
  const Millis now = mContext.mNow();
  if (mContext.self() != nullptr) {
    sendRenewals(now);
    keepWitnesses(now);
  }
  reportLease(now);
  pursueLapsed(now);
}

void
LeaseDuty::reportLease(Millis aNow)
{
  mOnLease(mContext.self() == nullptr ? Millis{} : mLease.heldUntil(aNow));
}

void
LeaseDuty::sendRenewals(Millis aNow)
{
  for (const LeaseHolder::Renewal& renewal : mLease.renewals(aNow)) {
    wire::RenewT renew;
    renew.incarnation = mContext.mSelf;
    renew.version = renewal.mVersion;
    renew.sent_ms = aNow.mCount;
    renew.heard_sent_ms = renewal.mAckedSentAt.mCount;
    mContext.mSend(renewal.mWitness, makeBody(renew));
  }
}

void
LeaseDuty::pursueLapsed(Millis aNow)
{
  const ExpulsionController::Actions actions =
    mDriver.step(mContext.mFleet.ownCell(), mContext.mFleet.logAnswers(), aNow);
  for (const ExpulsionController::ConsentRequest& ask :
       actions.mConsentRequests) {
    wire::ConsentAskT body;
    body.asker = mContext.mSelf;
    body.incarnation = ask.mLeaseId.mIncarnation;
    body.version = ask.mLeaseId.mVersion;
    mContext.mSend(ask.mWitness, makeBody(body));
  }
  for (const wire::ExpelT& expel : actions.mExpels) {
    const Member* member = mContext.mFleet.findMember(expel.incarnation);
    logEvent(LogLevel::Warn,
             "expel_proposed",
             { { "member_vm", member == nullptr ? "" : member->mVm },
               { "incarnation", std::to_string(expel.incarnation) } });
    mContext.mRecorder.propose(mContext.ownStream(), expel, [](ProposalEnd) {});
  }
}

void
LeaseDuty::keepWitnesses(Millis aNow)
{
  if (mReplacing) {
    return;
  }
  const std::set<Incarnation> suspects = mDriver.suspects(aNow);
  std::optional<wire::RewitnessT> change = mKeeper.step(
    mContext.mFleet.ownCell(),
    mLease,
    [&suspects](Incarnation aMember) { return suspects.contains(aMember); },
    mContext.mFleet.logAnswers() ? aNow : Millis{},
    aNow);
  if (!change) {
    return;
  }
  // The change in doubt may shorten the lease; the gate must know first.
  reportLease(aNow);
  mReplacing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(*change), [this](ProposalEnd aEnd) {
      mReplacing = false;
      // Refused as well as failed means that this record never takes effect.
      if (aEnd != ProposalEnd::Applied) {
        mLease.abandonChange();
      }
    });
}

LeaseDuty::Positions
LeaseDuty::positions() const
{
  Positions list;
  const auto add = [&list](const std::string& aStream, std::uint64_t aNext) {
    std::unique_ptr<wire::StreamPositionT> position =
      std::make_unique<wire::StreamPositionT>();
    position->stream = aStream;
    position->next_offset = aNext;
    list.push_back(std::move(position));
  };
  const std::string config(kConfigStream);
  add(config, mContext.mFleet.nextOffset(config));
  for (const auto& [service, cell] : mContext.mFleet.cells()) {
    add(cellStream(service), cell->mNextOffset);
  }
  return list;
}

}

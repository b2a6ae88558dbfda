#include "radishroad/daemon/lease_manager.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/lease_logger.h"
#include "radishroad/daemon/proposer.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Version of a renewal that asks for stream positions only; leases have lower
/// ones.
constexpr std::uint32_t kPositionQuery =
  std::numeric_limits<std::uint32_t>::max();

}

LeaseManager::LeaseManager(ControlContext& aContext,
                           LeaseFn aOnLease,
                           PositionsFn aOnPositions)
  : mContext(aContext)
  , mOnLease(std::move(aOnLease))
  , mOnPositions(std::move(aOnPositions))
  , mLease(aContext.mSelf)
  , mExpulsionController(aContext.mSelf)
  , mWitnessSetManager(aContext.mSelf)
{
}

void
LeaseManager::onOwnCellChanged()
{
  const Member* self = mContext.self();
  if (self != nullptr) {
    mLease.adopt(self->mWitnessVersion, self->mWitnesses);
  }
  mExpulsionController.onState(mContext.mFleet.ownCell(), mContext.mNow());
}

void
LeaseManager::onRenew(Incarnation aFrom, const wire::RenewT& aRenew)
{
  if (aRenew.incarnation != aFrom) {
    return;
  }
  const ReceivedRenewal renewal{ { aRenew.incarnation, aRenew.version },
                                 Millis{ aRenew.sent_ms },
                                 Millis{ aRenew.heard_sent_ms } };
  const Millis now = mContext.mNow();
  if (aRenew.version == kPositionQuery) {
    wire::PromiseT answer;
    answer.witness = mContext.mSelf;
    answer.incarnation = aRenew.incarnation;
    answer.version = kPositionQuery;
    answer.sent_ms = aRenew.sent_ms;
    answer.withheld = true;
    answer.positions = positions();
    mContext.mSend(aFrom, makeBody(std::move(answer)));
    return;
  }
  const RenewalAnswer answer = mExpulsionController.onRenew(renewal, now);
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
LeaseManager::onPromise(const wire::PromiseT& aPromise)
{
  const Millis sentAt{ aPromise.sent_ms };
  const bool isOwn = aPromise.incarnation == mContext.mSelf;
  mOnPositions(aPromise.witness,
               aPromise.positions,
               isOwn ? std::optional<Millis>(sentAt) : std::nullopt);
  if (!isOwn || aPromise.version == kPositionQuery) {
    return;
  }
  const Millis now = mContext.mNow();
  if (aPromise.withheld) {
    mLease.onWithheld(aPromise.witness, aPromise.version, sentAt);
    return;
  }
  mLease.onPromise(aPromise.witness, aPromise.version, sentAt, now);
  reportLease(now);
}

void
LeaseManager::askPositions(Incarnation aMember)
{
  if (aMember == 0 || aMember == mContext.mSelf) {
    return;
  }
  wire::RenewT query;
  query.incarnation = mContext.mSelf;
  query.version = kPositionQuery;
  query.sent_ms = mContext.mNow().mCount;
  mContext.mSend(aMember, makeBody(query));
}

void
LeaseManager::onConsentAsk(const wire::ConsentAskT& aAsk)
{
  const LeaseId leaseId{ aAsk.incarnation, aAsk.version };
  const Witness::ConsentAnswer answer =
    mExpulsionController.onConsentAsk(leaseId, mContext.mNow());
  wire::ConsentT consent;
  consent.witness = mContext.mSelf;
  consent.incarnation = aAsk.incarnation;
  consent.version = aAsk.version;
  consent.granted = answer.mGranted;
  consent.wait_ms = answer.mWait.mCount;
  mContext.mSend(aAsk.asker, makeBody(consent));
}

void
LeaseManager::onConsent(const wire::ConsentT& aConsent)
{
  mExpulsionController.onConsent(
    { aConsent.incarnation, aConsent.version },
    aConsent.witness,
    { aConsent.granted, Millis{ aConsent.wait_ms } },
    mContext.mNow());
}

std::vector<Incarnation>
LeaseManager::suspects() const
{
  const std::set<Incarnation> members =
    mExpulsionController.suspects(mContext.mNow());
  return { members.begin(), members.end() };
}

void
LeaseManager::tick()
{
  const Millis now = mContext.mNow();
  if (mContext.self() != nullptr) {
    sendRenewals(now);
    maintainWitnesses(now);
  }
  reportLease(now);
  expelLapsedMembers(now);
}

void
LeaseManager::reportLease(Millis aNow)
{
  mOnLease(mContext.self() == nullptr ? Millis{} : mLease.heldUntil(aNow));
}

void
LeaseManager::sendRenewals(Millis aNow)
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
LeaseManager::expelLapsedMembers(Millis aNow)
{
  const ExpulsionController::Actions actions = mExpulsionController.step(
    mContext.mFleet.ownCell(), mContext.mFleet.isLogReachable(), aNow);
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
    mContext.mProposer.propose(
      mContext.ownStream(), expel, [](ProposalOutcome) {});
  }
}

void
LeaseManager::maintainWitnesses(Millis aNow)
{
  if (mRewitnessPending) {
    return;
  }
  const std::set<Incarnation> suspects = mExpulsionController.suspects(aNow);
  std::optional<wire::RewitnessT> change = mWitnessSetManager.step(
    mContext.mFleet.ownCell(),
    mLease,
    [&suspects](Incarnation aMember) { return suspects.contains(aMember); },
    mContext.mFleet.isLogReachable() ? aNow : Millis{},
    aNow);
  if (!change) {
    return;
  }
  // The lease may become shorter while the outcome of the change is in doubt,
  // so the gate is notified before the change is proposed.
  reportLease(aNow);
  mRewitnessPending = true;
  mContext.mProposer.proposeForCertain(
    mContext.ownStream(), std::move(*change), [this](ProposalOutcome aOutcome) {
      mRewitnessPending = false;
      // A refused or failed record never takes effect.
      if (aOutcome != ProposalOutcome::Applied) {
        mLease.abandonChange();
      }
    });
}

LeaseManager::Positions
LeaseManager::positions() const
{
  Positions list;
  const auto add = [&list](const std::string& aStream,
                           std::uint64_t aNext) -> wire::StreamPositionT& {
    std::unique_ptr<wire::StreamPositionT> position =
      std::make_unique<wire::StreamPositionT>();
    position->stream = aStream;
    position->next_offset = aNext;
    list.push_back(std::move(position));
    return *list.back();
  };
  const std::string config(kConfigStream);
  wire::StreamPositionT& position =
    add(config, mContext.mFleet.nextOffset(config));
  if (const std::optional<Millis> asOf = mContext.mConfigAsOf()) {
    position.as_of_ms_ago = (mContext.mNow() - *asOf).mCount;
  }
  for (const auto& [service, cell] : mContext.mFleet.cells()) {
    add(cellStream(service), cell->mNextOffset);
  }
  return list;
}

}

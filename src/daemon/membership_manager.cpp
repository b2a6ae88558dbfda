#include "radishroad/daemon/membership_manager.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/witness_set_manager.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// An upstream that has been unhealthy for this long is considered lost.
constexpr Millis kUpstreamLostTimeout{ 700 };
/// Longest wait for the first report of an upstream that was running before
/// this process started: two report intervals.
constexpr Millis kFirstReportTimeout{ 1800 };
/// Time between two notices to the peers of a leave that the log does not show
/// yet.
constexpr Millis kLeaveNoticeInterval{ 250 };
/// Time for which all others must have been unresponsive. A pause of this
/// process makes them seem so for a moment.
constexpr Millis kLastMemberConfirmTime{ 500 };

}

MembershipManager::MembershipManager(ControlContext& aContext,
                                     Millis aJoinNotBefore)
  : mContext(aContext)
  , mUnhealthySince(aContext.mNow() + kFirstReportTimeout)
  , mJoinNotBefore(aJoinNotBefore)
{
}

void
MembershipManager::onUpstreamHealth(bool aHealthy)
{
  if (aHealthy != mUpstreamHealthy) {
    logEvent(LogLevel::Info, "upstream_health", { { "healthy", aHealthy } });
  }
  mUpstreamHealthy = aHealthy;
}

bool
MembershipManager::joined() const
{
  return mContext.self() != nullptr;
}

bool
MembershipManager::removed() const
{
  return mWasMember && !joined();
}

void
MembershipManager::beginLeave()
{
  mLeaving = true;
}

void
MembershipManager::tick()
{
  if (joined()) {
    mWasMember = true;
    if (mContext.mSettings.isPlatform()) {
      proposeUpstreamState();
    } else {
      leaveIfUpstreamLost();
    }
    if (mLeaving && !mContext.self()->mLeaving) {
      notifyPeersOfLeave();
    }
    if (mLeaving && !mProposing) {
      advanceLeave();
    }
    return;
  }
  // With an upstream that sends reports, the daemon joins at once, and what it
  // owns waits for the upstream.
  const bool mayJoin = mUpstreamHealthy || mContext.mSettings.isPlatform();
  if (!mWasMember && !mLeaving && !mProposing && mayJoin &&
      mContext.mNow() >= mJoinNotBefore && mContext.mFleet.ownCellLoaded()) {
    proposeJoin();
  }
}

void
MembershipManager::proposeJoin()
{
  const DaemonSettings& settings = mContext.mSettings;
  std::vector<Member> others;
  for (const auto& [incarnation, member] : mContext.mFleet.ownCell().mMembers) {
    if (member.mStatus == MemberStatus::Active) {
      others.push_back(member);
    }
  }
  wire::JoinT change;
  change.vm = settings.mVm;
  change.zone = settings.mZone;
  change.service = settings.mService;
  change.incarnation = mContext.mSelf;
  change.peer_address = settings.mAdvertisePeerAddress;
  change.caller_address = settings.mCallerAddress;
  change.operator_address = settings.mOperatorAddress;
  change.witnesses = chooseWitnesses(
    others, mContext.mSelf, settings.mZone, kTargetWitnessCount);
  if (settings.isPlatform()) {
    change.awaits_upstream = true;
    change.succeeds = findPredecessor();
  }
  mProposing = true;
  mContext.mProposer.propose(
    mContext.ownStream(), std::move(change), [this](ProposalOutcome aOutcome) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "join",
               { { "applied", aOutcome == ProposalOutcome::Applied },
                 { "incarnation", std::to_string(mContext.mSelf) } });
    });
}

Incarnation
MembershipManager::findPredecessor() const
{
  const DaemonSettings& settings = mContext.mSettings;
  for (const auto& [incarnation, member] : mContext.mFleet.ownCell().mMembers) {
    if (member.mStatus == MemberStatus::Active && member.mVm == settings.mVm &&
        member.mPeerAddress == settings.mAdvertisePeerAddress) {
      return incarnation;
    }
  }
  return 0;
}

void
MembershipManager::onUpstreamIncarnation(std::uint64_t aUpstreamIncarnation)
{
  mUpstreamIncarnation = aUpstreamIncarnation;
  mUpstreamDraining = false;
}

void
MembershipManager::onUpstreamVersion(std::string aVersion)
{
  mVersion = std::move(aVersion);
}

void
MembershipManager::onUpstreamDraining()
{
  mUpstreamDraining = true;
}

void
MembershipManager::proposeUpstreamState()
{
  const Millis now = mContext.mNow();
  const bool up = mUpstreamHealthy && !mUpstreamDraining;
  if (up || mUpstreamDraining) {
    mUnhealthySince = now;
  }
  const Member* self = mContext.self();
  const bool toDown =
    !up && !self->mUpstreamDown &&
    (mUpstreamDraining || now - mUnhealthySince > kUpstreamLostTimeout);
  const bool toUp = up && mUpstreamIncarnation != 0 &&
                    (self->mUpstreamDown ||
                     self->mUpstreamIncarnation != mUpstreamIncarnation ||
                     (!mVersion.empty() && self->mVersion != mVersion));
  if (mProposing || mLeaving || (!toDown && !toUp)) {
    return;
  }
  wire::UpstreamChangeT change;
  change.incarnation = mContext.mSelf;
  change.up = toUp;
  change.life = toUp ? mUpstreamIncarnation : self->mUpstreamIncarnation;
  change.version = toUp ? mVersion : self->mVersion;
  mProposing = true;
  mContext.mProposer.propose(
    mContext.ownStream(), change, [this, up = toUp](ProposalOutcome aOutcome) {
      mProposing = false;
      logEvent(
        LogLevel::Info,
        "upstream_recorded",
        { { "up", up }, { "applied", aOutcome == ProposalOutcome::Applied } });
    });
}

void
MembershipManager::leaveIfUpstreamLost()
{
  const Millis now = mContext.mNow();
  if (mUpstreamHealthy) {
    mUnhealthySince = now;
    return;
  }
  if (!mLeaving && now - mUnhealthySince > kUpstreamLostTimeout) {
    logEvent(LogLevel::Warn, "upstream_lost", nlohmann::json::object());
    beginLeave();
  }
}

void
MembershipManager::advanceLeave()
{
  if (!mContext.self()->mLeaving) {
    proposeBeginLeave();
    return;
  }
  if (!ownsAny(mContext.mFleet.ownCell(), mContext.mSelf)) {
    proposeLeave();
  }
}

void
MembershipManager::proposeBeginLeave()
{
  wire::BeginLeaveT change;
  change.incarnation = mContext.mSelf;
  mProposing = true;
  mContext.mProposer.propose(mContext.ownStream(),
                             change,
                             [this](ProposalOutcome) { mProposing = false; });
}

void
MembershipManager::notifyPeersOfLeave()
{
  const Millis now = mContext.mNow();
  if (now < mNextLeaveNoticeAt) {
    return;
  }
  mNextLeaveNoticeAt = now + kLeaveNoticeInterval;
  wire::BeginLeaveT change;
  change.incarnation = mContext.mSelf;
  for (const auto& [incarnation, member] : mContext.mFleet.ownCell().mMembers) {
    if (incarnation != mContext.mSelf &&
        member.mStatus == MemberStatus::Active) {
      mContext.mSend(incarnation, makeBody(change));
    }
  }
}

void
MembershipManager::onPeerLeaving(Incarnation aPeer)
{
  if (mContext.mFleet.ownCell().mMembers.contains(aPeer)) {
    mLeavingPeers.insert(aPeer);
  }
}

bool
MembershipManager::hasSuccessor(std::span<const Incarnation> aUnavailable) const
{
  const CellState& cell = mContext.mFleet.ownCell();
  return !planEvacuation(cell, mContext.mSelf, 1, aUnavailable).empty() ||
         !planSplitKeyEvacuation(cell, mContext.mSelf, 1, aUnavailable).empty();
}

bool
MembershipManager::isLastMember()
{
  std::vector<Incarnation> unavailable(mLeavingPeers.begin(),
                                       mLeavingPeers.end());
  if (!hasSuccessor(unavailable)) {
    return true;
  }
  std::ranges::copy(mContext.mSuspects(), std::back_inserter(unavailable));
  if (hasSuccessor(unavailable)) {
    mLastMemberSince.reset();
    return false;
  }
  const Millis now = mContext.mNow();
  if (!mLastMemberSince) {
    mLastMemberSince = now;
  }
  return now - *mLastMemberSince >= kLastMemberConfirmTime;
}

void
MembershipManager::proposeLeave()
{
  wire::LeaveT change;
  change.incarnation = mContext.mSelf;
  mProposing = true;
  mContext.mProposer.propose(
    mContext.ownStream(), change, [this](ProposalOutcome aOutcome) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "leave",
               { { "applied", aOutcome == ProposalOutcome::Applied } });
    });
}

}

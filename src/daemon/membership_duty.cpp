#include "radishroad/daemon/membership_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/recorder.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/witness_keeper.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// An upstream that does not answer for so long is gone.
constexpr Millis kUpstreamLostAfter{ 700 };
/// The first report of an upstream that was there before this process may take
/// so long: two of its intervals.
constexpr Millis kFirstReport{ 1800 };
/// How often peers are told of a leave that the log does not show yet.
constexpr Millis kTellInterval{ 250 };
/// The others may seem silent for a moment, as after a pause of this process.
constexpr Millis kAloneFor{ 500 };

}

MembershipDuty::MembershipDuty(ControlContext& aContext, Millis aJoinFrom)
  : mContext(aContext)
  , mUnhealthySince(aContext.mNow() + kFirstReport)
  , mJoinFrom(aJoinFrom)
{
}

void
MembershipDuty::onUpstreamHealth(bool aHealthy)
{
  if (aHealthy != mUpstreamHealthy) {
    logEvent(LogLevel::Info, "upstream_health", { { "healthy", aHealthy } });
  }
  mUpstreamHealthy = aHealthy;
}

bool
MembershipDuty::joined() const
{
  return mContext.self() != nullptr;
}

bool
MembershipDuty::out() const
{
  return mWasMember && !joined();
}

void
MembershipDuty::beginLeave()
{
  mLeaving = true;
}

void
MembershipDuty::tick()
{
  if (joined()) {
    mWasMember = true;
    if (mContext.mSettings.isPlatform()) {
      recordUpstream();
    } else {
      watchUpstream();
    }
    if (mLeaving && !mContext.self()->mLeaving) {
      tellPeers();
    }
    if (mLeaving && !mProposing) {
      stepLeave();
    }
    return;
  }
  // One whose upstream reports takes its place at once; what it owns waits for
  // the upstream.
  const bool mayJoin = mUpstreamHealthy || mContext.mSettings.isPlatform();
  if (!mWasMember && !mLeaving && !mProposing && mayJoin &&
      mContext.mNow() >= mJoinFrom && mContext.mFleet.ownCellRead()) {
    join();
  }
}

void
MembershipDuty::join()
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
    change.succeeds = followedProcess();
  }
  mProposing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "join",
               { { "applied", aEnd == ProposalEnd::Applied },
                 { "incarnation", std::to_string(mContext.mSelf) } });
    });
}

Incarnation
MembershipDuty::followedProcess() const
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
MembershipDuty::onUpstreamLife(std::uint64_t aLife)
{
  mUpstreamLife = aLife;
  mUpstreamDrains = false;
}

void
MembershipDuty::onUpstreamDrains()
{
  mUpstreamDrains = true;
}

void
MembershipDuty::recordUpstream()
{
  const Millis now = mContext.mNow();
  const bool up = mUpstreamHealthy && !mUpstreamDrains;
  if (up || mUpstreamDrains) {
    mUnhealthySince = now;
  }
  const Member* self = mContext.self();
  const bool toDown =
    !up && !self->mUpstreamDown &&
    (mUpstreamDrains || now - mUnhealthySince > kUpstreamLostAfter);
  const bool toUp =
    up && mUpstreamLife != 0 &&
    (self->mUpstreamDown || self->mUpstreamLife != mUpstreamLife);
  if (mProposing || mLeaving || (!toDown && !toUp)) {
    return;
  }
  wire::UpstreamChangeT change;
  change.incarnation = mContext.mSelf;
  change.up = toUp;
  change.life = toUp ? mUpstreamLife : self->mUpstreamLife;
  mProposing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), change, [this, up = toUp](ProposalEnd aEnd) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "upstream_recorded",
               { { "up", up }, { "applied", aEnd == ProposalEnd::Applied } });
    });
}

void
MembershipDuty::watchUpstream()
{
  const Millis now = mContext.mNow();
  if (mUpstreamHealthy) {
    mUnhealthySince = now;
    return;
  }
  if (!mLeaving && now - mUnhealthySince > kUpstreamLostAfter) {
    logEvent(LogLevel::Warn, "upstream_lost", nlohmann::json::object());
    beginLeave();
  }
}

void
MembershipDuty::stepLeave()
{
  if (!mContext.self()->mLeaving) {
    announceLeave();
    return;
  }
  if (!ownsAny(mContext.mFleet.ownCell(), mContext.mSelf)) {
    leave();
  }
}

void
MembershipDuty::announceLeave()
{
  wire::BeginLeaveT change;
  change.incarnation = mContext.mSelf;
  mProposing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), change, [this](ProposalEnd) { mProposing = false; });
}

void
MembershipDuty::tellPeers()
{
  const Millis now = mContext.mNow();
  if (now < mNextTell) {
    return;
  }
  mNextTell = now + kTellInterval;
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
MembershipDuty::onPeerLeaves(Incarnation aPeer)
{
  if (mContext.mFleet.ownCell().mMembers.contains(aPeer)) {
    mLeavingPeers.insert(aPeer);
  }
}

bool
MembershipDuty::hasSuccessor(std::span<const Incarnation> aGone) const
{
  const CellState& cell = mContext.mFleet.ownCell();
  return !planEvacuation(cell, mContext.mSelf, 1, aGone).empty() ||
         !planSplitKeyEvacuation(cell, mContext.mSelf, 1, aGone).empty();
}

bool
MembershipDuty::isLastOfCell()
{
  std::vector<Incarnation> gone(mLeavingPeers.begin(), mLeavingPeers.end());
  if (!hasSuccessor(gone)) {
    return true;
  }
  std::ranges::copy(mContext.mSuspects(), std::back_inserter(gone));
  if (hasSuccessor(gone)) {
    mAloneSince.reset();
    return false;
  }
  const Millis now = mContext.mNow();
  if (!mAloneSince) {
    mAloneSince = now;
  }
  return now - *mAloneSince >= kAloneFor;
}

void
MembershipDuty::leave()
{
  wire::LeaveT change;
  change.incarnation = mContext.mSelf;
  mProposing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), change, [this](ProposalEnd aEnd) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "leave",
               { { "applied", aEnd == ProposalEnd::Applied } });
    });
}

}

#include "radishroad/base/json_log.h"

#include "parts.h"
#include "radishroad/daemon/peer_check.h"
#include "radishroad/ownership/ownership_change.h"
#include "radishroad/policy/hot_key_report.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr Millis kLoadReportInterval{ 1000 };
/// For reports of a gate that ran nothing.
constexpr Millis kIdleReportInterval{ 3000 };
constexpr Millis kTrafficInterval{ 1000 };

wire::CrashReportT
makeCrashReport(Incarnation aReporter, std::uint64_t aFingerprint, RandomId aId)
{
  wire::CrashReportT report;
  report.fingerprint = aFingerprint;
  report.reporter = aReporter;
  report.request_high = aId.mHigh;
  report.request_low = aId.mLow;
  return report;
}

wire::LoadReportT
makeLoadReport(Incarnation aReporter, const CellState& aCell, Gate::Load aLoad)
{
  wire::LoadReportT report;
  report.incarnation = aReporter;
  report.window = static_cast<float>(aLoad.mWindow);
  report.in_flight = static_cast<float>(aLoad.mInFlight);
  report.capacity = static_cast<float>(aLoad.mCapacity);
  report.shards = std::move(aLoad.mShards);
  for (const wire::HotKeyT& key :
       selectHotKeys(aLoad.mHotKeys, aCell, aReporter)) {
    report.hot_keys.push_back(std::make_unique<wire::HotKeyT>(key));
  }
  return report;
}

}

FleetState::Hooks
Daemon::Parts::fleetHooks()
{
  FleetState::Hooks hooks;
  hooks.mOnCellChanged = [this](const std::string& aService,
                                const CellState& aBefore,
                                const CellState& aAfter) {
    onCell(aService, aBefore, aAfter);
  };
  hooks.mOnConfig = [this](const config::Model& aModel) {
    const auto it = aModel.mServices.find(mSettings.mService);
    if (it != aModel.mServices.end()) {
      mGate->configure(it->second);
    }
    mRate.onConfig(aModel);
    onZones();
  };
  hooks.mOnRecord = [this](RandomId aId, FoldVerdict aVerdict) {
    mProposals.onCommitted(aId);
    mRecorder.onRecord(aId, aVerdict);
  };
  hooks.mFollowCell = [this](const std::string& aService) {
    if (mProtocol.isPlatform()) {
      followStates(cellStream(aService));
    } else {
      follow(cellStream(aService));
    }
  };
  return hooks;
}

Gate::Hooks
Daemon::Parts::gateHooks()
{
  Gate::Hooks hooks;
  hooks.mMayServe = [this](const ForwardRequest& aRequest) {
    return mAuthority.decide(aRequest, monotonicNow());
  };
  hooks.mOnHealth = [this](bool aHealthy) {
    mLoop.post([this, aHealthy] {
      mMembership.onUpstreamHealth(aHealthy);
      mLoop.scheduleImmediateTick();
    });
  };
  hooks.mOnCrash = [this](std::uint64_t aFingerprint, RandomId aId) {
    // At once, since a copy of the request may be next in the gate's queue.
    const wire::CrashReportT report = makeCrashReport(mSelf, aFingerprint, aId);
    mCrashes.onReport(report, monotonicNow());
    mLoop.post([this, report] { spreadCrashReport(report); });
  };
  hooks.mIsQuarantined = [this](std::uint64_t aFingerprint) {
    return mCrashes.isQuarantined(aFingerprint, monotonicNow());
  };
  hooks.mNow = monotonicNow;
  if (mProtocol.isPlatform()) {
    setPlatformGateHooks(hooks);
  }
  return hooks;
}

PeerTransport::Hooks
Daemon::Parts::linkHooks()
{
  PeerTransport::Hooks hooks;
  hooks.mOnControl = [this](Incarnation aFrom, wire::FrameBodyUnion aBody) {
    std::shared_ptr<wire::FrameBodyUnion> body =
      std::make_shared<wire::FrameBodyUnion>(std::move(aBody));
    mLoop.tryPost([this, aFrom, body] { onControlFrame(aFrom, *body); });
  };
  hooks.mOnRequest = [this](ForwardRequest aRequest, AnswerFn aAnswer) {
    const NotRunReason reason =
      checkPeerRequest(*mViews.get(), mSettings.mService, aRequest);
    if (reason != NotRunReason::None) {
      aAnswer(makeNotRunAnswer(idOf(aRequest), reason));
      return;
    }
    mGate->submit(std::move(aRequest), withLoad(std::move(aAnswer)));
  };
  hooks.mOnCancel = [this](RandomId aId) { mGate->cancel(aId); };
  return hooks;
}

HandoffManager::Hooks
Daemon::Parts::handoffHooks()
{
  HandoffManager::Hooks hooks;
  hooks.mPause = [this](std::span<const Shard> aShards,
                        std::function<void()> aDone) {
    mGate->pauseShards(aShards,
                       [this, done = std::move(aDone)] { mLoop.post(done); });
  };
  hooks.mResume = [this](std::span<const Shard> aShards) {
    mGate->resumeShards(aShards);
  };
  hooks.mProbeLog = [this](const std::function<void(bool)>& aDone) {
    probeLog(aDone);
  };
  return hooks;
}

Ingress::Hooks
Daemon::Parts::ingressHooks()
{
  Ingress::Hooks hooks;
  hooks.mTakeToken = [this](const std::string& aWorkspace, bool aHeld) {
    const TakeResult verdict = mRate.take(aWorkspace, aHeld);
    if (verdict == TakeResult::WaitForGrant && !aHeld) {
      mLoop.tryPost([this] { mRate.tick(); });
    }
    return verdict;
  };
  hooks.mDropHeld = [this](const std::string& aWorkspace) {
    mRate.dropHeld(aWorkspace);
  };
  hooks.mRetryAfter = [this](const std::string& aWorkspace) {
    return mRate.retryAfter(aWorkspace);
  };
  hooks.mTokenState = [this](const std::string& aWorkspace) {
    return mRate.tokenState(aWorkspace);
  };
  hooks.mConfigFresh = [this] { return configFresh(); };
  hooks.mToOwnUpstream = [this](ForwardRequest aRequest, AnswerFn aAnswer) {
    mGate->submit(std::move(aRequest), withLoad(std::move(aAnswer)));
  };
  hooks.mToPeer = [this](const std::string& aAddress,
                         ForwardRequest aRequest,
                         AnswerFn aAnswer) {
    mLink->forward(aAddress, std::move(aRequest), std::move(aAnswer));
  };
  hooks.mCancelOwn = [this](RandomId aId) { mGate->cancel(aId); };
  hooks.mCancelAtPeer = [this](const std::string& aAddress, RandomId aId) {
    mLink->cancel(aAddress, aId);
  };
  hooks.mOnRequest = [this] {
    mHadRequests = true;
    mCrashes.onRequest();
  };
  hooks.mMayRetry = [this](const ForwardRequest& aRequest) {
    return mHooks.mMayRunTwice(aRequest) && mCrashes.mayRetry(monotonicNow());
  };
  hooks.mReadHead = mProtocol.mReadHead;
  hooks.mRequestIdHeader = mProtocol.mRequestIdHeader;
  hooks.mOwnService = mSettings.mService;
  hooks.mOwnZone = mSettings.mZone;
  hooks.mNow = monotonicNow;
  return hooks;
}

void
Daemon::Parts::onCell(const std::string& aService,
                      const CellState& aBefore,
                      const CellState& aAfter)
{
  if (aService == mSettings.mService) {
    mLease.onOwnCellChanged();
    guardTakeovers(aBefore, aAfter);
  }
  for (const auto& [incarnation, member] : aAfter.mMembers) {
    const auto it = aBefore.mMembers.find(incarnation);
    const bool changed =
      it == aBefore.mMembers.end() || it->second.mStatus != member.mStatus;
    if (changed) {
      logEvent(LogLevel::Info,
               "member",
               { { "service", aService },
                 { "member_vm", member.mVm },
                 { "incarnation", std::to_string(incarnation) },
                 { "status", memberStatusName(member.mStatus) } });
    }
  }
}

void
Daemon::Parts::guardTakeovers(const CellState& aBefore, const CellState& aAfter)
{
  const config::Model* model = mFleet.model();
  const bool known =
    model != nullptr && model->mServices.contains(mSettings.mService);
  if (known && model->mServices.at(mSettings.mService).mChecksFence) {
    return;
  }
  const Millis now = monotonicNow();
  const Millis wait = takeoverWait();
  if (!mGuardStarted) {
    mGuardStarted = true;
    // Whole states show what was before only by the members that they name.
    const bool whole = mProtocol.isPlatform();
    mGuard.initialize(whole ? aAfter : aBefore, now, wait);
    if (whole) {
      mAuthority.setTakeoverGuard(mGuard);
      return;
    }
  }
  for (const OwnershipChange& change : ownershipChanges(aBefore, aAfter)) {
    mGuard.onOwnershipChange(change, now, wait);
  }
  mAuthority.setTakeoverGuard(mGuard);
}

void
Daemon::Parts::reportLoad(Millis aNow)
{
  const Incarnation coordinator = coordinatorOf(mFleet.ownCell());
  if (aNow < mNextLoadReport || coordinator == 0) {
    return;
  }
  mNextLoadReport = aNow + kLoadReportInterval;
  Gate::Load load = mGate->takeLoad();
  if (load.mShards.empty() && aNow < mNextIdleReport) {
    return;
  }
  mNextIdleReport = aNow + kIdleReportInterval;
  wire::LoadReportT report =
    makeLoadReport(mSelf, mFleet.ownCell(), std::move(load));
  if (coordinator == mSelf) {
    mCoordinator.onReport(report);
  } else {
    sendControl(coordinator, makeBody(std::move(report)));
  }
}

void
Daemon::Parts::countTraffic(Millis aNow)
{
  if (aNow < mNextTraffic) {
    return;
  }
  mNextTraffic = aNow + kTrafficInterval;
  const PeerTransport::Traffic traffic = mLink->traffic();
  mMetrics.count("radishroad_control_sent_bytes_total",
                 traffic.mControlBytesSent - mCounted.mControlBytesSent);
  mMetrics.count("radishroad_control_received_bytes_total",
                 traffic.mControlBytesReceived -
                   mCounted.mControlBytesReceived);
  mCounted = traffic;
}

void
Daemon::Parts::onMoveOrder(const wire::MoveOrderT& aOrder)
{
  std::vector<wire::SplitKeyT> keys;
  for (const std::unique_ptr<wire::SplitKeyT>& key : aOrder.keys) {
    keys.push_back(*key);
  }
  if (!aOrder.grants.empty()) {
    mHandoff.orderShardMoves(aOrder.grants);
  }
  if (!keys.empty()) {
    mHandoff.orderKeyMoves(keys);
  }
}

void
Daemon::Parts::spreadCrashReport(const wire::CrashReportT& aReport)
{
  const RandomId id{ aReport.request_high, aReport.request_low };
  logEvent(LogLevel::Warn,
           "crash_suspect",
           { { "request_id", id.toString() },
             { "fingerprint", std::to_string(aReport.fingerprint) } });
  // Only daemons of this cell run requests of this service.
  for (const auto& [incarnation, member] : mFleet.ownCell().mMembers) {
    if (incarnation != mSelf) {
      sendControl(incarnation, makeBody(aReport));
    }
  }
}

void
Daemon::Parts::sendControl(Incarnation aTo, wire::FrameBodyUnion aBody)
{
  const Member* member = mFleet.findMember(aTo);
  // One that has left serves callers for a moment and needs tokens for them.
  if (member != nullptr && member->mStatus != MemberStatus::Expelled) {
    logSentFrame(aBody, monotonicNow());
    mLink->sendControl(member->mPeerAddress, aTo, std::move(aBody));
  }
}

void
Daemon::Parts::onControlFrame(Incarnation aFrom,
                              const wire::FrameBodyUnion& aBody)
{
  logReceivedFrame(aBody, monotonicNow());
  switch (aBody.type) {
    case wire::FrameBody::Renew:
      mLease.onRenew(aFrom, *aBody.AsRenew());
      break;
    case wire::FrameBody::Promise:
      mLease.onPromise(*aBody.AsPromise());
      break;
    case wire::FrameBody::ConsentAsk:
      mLease.onConsentAsk(*aBody.AsConsentAsk());
      break;
    case wire::FrameBody::Consent:
      mLease.onConsent(*aBody.AsConsent());
      // It may complete an expulsion.
      mLoop.scheduleImmediateTick();
      break;
    case wire::FrameBody::MoveOrder:
      onMoveOrder(*aBody.AsMoveOrder());
      break;
    case wire::FrameBody::TokenAsk:
      mRate.onAsk(*aBody.AsTokenAsk());
      break;
    case wire::FrameBody::TokenGrant:
      mRate.onGrant(*aBody.AsTokenGrant());
      break;
    case wire::FrameBody::FetchRecords:
      mRelay.onFetch(aFrom, *aBody.AsFetchRecords());
      break;
    case wire::FrameBody::RelayRecords:
      if (aBody.AsRelayRecords()->base_version > 0) {
        onStateChange(*aBody.AsRelayRecords());
        break;
      }
      mRelay.onRelayedRecords(*aBody.AsRelayRecords());
      break;
    case wire::FrameBody::LoadReport:
      mCoordinator.onReport(*aBody.AsLoadReport());
      break;
    case wire::FrameBody::BeginLeave:
      mMembership.onPeerLeaving(aFrom);
      break;
    case wire::FrameBody::Handover:
      mGate->onHandover(aBody.AsHandover()->shard,
                        aBody.AsHandover()->epoch,
                        aBody.AsHandover()->tokens);
      break;
    case wire::FrameBody::Proposal:
      onProposal(aFrom, *aBody.AsProposal());
      break;
    case wire::FrameBody::CrashReport:
      mCrashes.onReport(*aBody.AsCrashReport(), monotonicNow());
      break;
    default:
      break;
  }
}

}

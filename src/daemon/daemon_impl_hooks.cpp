#include "radishroad/base/json_log.h"

#include "daemon_impl.h"
#include "radishroad/caller/response.h"
#include "radishroad/daemon/peer_check.h"
#include "radishroad/ownership/ownership_change.h"
#include "radishroad/policy/hot_key_report.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace radishroad {

namespace {

constexpr Millis kLoadReportInterval{ 1000 };
/// Interval of load reports while the gate runs no requests.
constexpr Millis kIdleReportInterval{ 3000 };
constexpr Millis kTrafficUpdateInterval{ 1000 };

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

/// Logs what this daemon owns by the first state that it knows.
void
logOwnedShards(const TakeoverGuard& aGuard,
               const CellState& aState,
               Incarnation aSelf,
               Millis aNow)
{
  std::size_t owned = 0;
  Millis longest;
  for (Shard shard = 0; shard < aState.mShards.size(); ++shard) {
    if (aState.mShards[shard].mOwner == aSelf) {
      ++owned;
      longest = std::max(longest, aGuard.serveFrom(shard) - aNow);
    }
  }
  logEvent(LogLevel::Info,
           "first_state",
           { { "state_version", aState.mNextOffset },
             { "owned_shards", owned },
             { "wait_ms", longest.mCount } });
}

/// Logs the shards that this daemon gained from or lost to each other member,
/// and whether it waits before it serves them.
void
logOwnershipChanges(std::span<const OwnershipChange> aChanges,
                    const TakeoverGuard& aGuard,
                    Incarnation aSelf,
                    Millis aNow)
{
  std::map<std::tuple<Incarnation, Incarnation, bool>, nlohmann::json> moves;
  Millis longest;
  for (const OwnershipChange& change : aChanges) {
    const bool isOwn = change.mTo == aSelf || change.mFrom == aSelf;
    if (!isOwn || change.mKeyHash) {
      continue;
    }
    moves[{ change.mFrom, change.mTo, change.mPlanned }].push_back(
      { change.mShard, change.mEpoch });
    longest = std::max(longest, aGuard.serveFrom(change.mShard) - aNow);
  }
  for (auto& [move, shards] : moves) {
    const auto& [from, to, isPlanned] = move;
    logEvent(LogLevel::Info,
             to == aSelf ? "shards_gained" : "shards_lost",
             { { "from_member", std::to_string(from) },
               { "to_member", std::to_string(to) },
               { "planned", isPlanned },
               { "longest_wait_ms", longest.mCount },
               { "shard_epoch", std::move(shards) } });
  }
}

}

FleetState::Hooks
Daemon::Impl::fleetHooks()
{
  FleetState::Hooks hooks;
  hooks.mOnCellChanged = [this](const std::string& aService,
                                const CellState& aBefore,
                                const CellState& aAfter) {
    onCellChanged(aService, aBefore, aAfter);
  };
  hooks.mOnConfig = [this](const config::Model& aModel) {
    const auto it = aModel.mServices.find(mSettings.mService);
    if (it != aModel.mServices.end()) {
      mGate->configure(it->second);
    }
    mRateLimiter.onConfig(aModel);
  };
  hooks.mOnRecord = [this](RandomId aId, FoldVerdict aVerdict) {
    mProposalForwarder.onCommitted(aId);
    mProposer.onRecord(aId, aVerdict);
  };
  hooks.mFollowCell = [this](const std::string& aService) {
    if (mProtocol.isPlatform()) {
      followStates(cellStream(aService));
    } else {
      followLog(cellStream(aService));
    }
  };
  return hooks;
}

Gate::Hooks
Daemon::Impl::gateHooks()
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
    // Recorded without delay, since a copy of the request may be next in the
    // gate's queue.
    const wire::CrashReportT report = makeCrashReport(mSelf, aFingerprint, aId);
    mRetryPolicy.onReport(report, monotonicNow());
    mLoop.post([this, report] { broadcastCrashReport(report); });
  };
  hooks.mIsQuarantined = [this](std::uint64_t aFingerprint) {
    return mRetryPolicy.isQuarantined(aFingerprint, monotonicNow());
  };
  hooks.mNow = monotonicNow;
  if (mProtocol.isPlatform()) {
    setPlatformGateHooks(hooks);
  }
  return hooks;
}

PeerTransport::Hooks
Daemon::Impl::peerTransportHooks()
{
  PeerTransport::Hooks hooks;
  hooks.mOnControl = [this](Incarnation aFrom, wire::FrameBodyUnion aBody) {
    std::shared_ptr<wire::FrameBodyUnion> body =
      std::make_shared<wire::FrameBodyUnion>(std::move(aBody));
    mLoop.tryPost([this, aFrom, body] { onControlFrame(aFrom, *body); });
  };
  hooks.mOnRequest = [this](ForwardRequest aRequest, AnswerFn aAnswer) {
    const std::optional<Millis> asOf = configAsOf();
    const Millis now = monotonicNow();
    const std::shared_ptr<const FleetView> view = mViews.get();
    const NotRunReason reason = checkPeerRequest(
      *view, mSettings.mService, aRequest, mayRefuseForGood(asOf, now));
    if (reason != NotRunReason::None) {
      logRequest("peer_request_refused",
                 aRequest.request_id,
                 { { "reason", reasonName(reason) },
                   { "config_version", view->mConfigVersion },
                   { "operator_version", view->mOperatorVersion },
                   { "config_age_ms", config::configAge(asOf, now) } });
      aAnswer(makeNotRunAnswer(idOf(aRequest), reason));
      return;
    }
    mGate->submit(std::move(aRequest), attachLoad(std::move(aAnswer)));
  };
  hooks.mOnCancel = [this](RandomId aId) { mGate->cancel(aId); };
  return hooks;
}

HandoffManager::Hooks
Daemon::Impl::handoffHooks()
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
Daemon::Impl::ingressHooks()
{
  Ingress::Hooks hooks;
  hooks.mTakeToken = [this](const std::string& aWorkspace, bool aIsWaiting) {
    const TakeResult verdict = mRateLimiter.take(aWorkspace, aIsWaiting);
    if (verdict == TakeResult::WaitForGrant && !aIsWaiting) {
      mLoop.tryPost([this] { mRateLimiter.tick(); });
    }
    return verdict;
  };
  hooks.mCancelTokenWait = [this](const std::string& aWorkspace) {
    mRateLimiter.cancelWait(aWorkspace);
  };
  hooks.mRetryAfter = [this](const std::string& aWorkspace) {
    return mRateLimiter.retryAfter(aWorkspace);
  };
  hooks.mTokenState = [this](const std::string& aWorkspace) {
    return mRateLimiter.tokenState(aWorkspace);
  };
  hooks.mConfigFresh = [this] { return configFresh(); };
  hooks.mConfigAsOf = [this] { return configAsOf(); };
  hooks.mMayRefuseForGood = [this](std::optional<Millis> aAsOf,
                                   Millis aReceivedAt) {
    return mayRefuseForGood(aAsOf, aReceivedAt);
  };
  hooks.mCheckConfig = [this] { return checkConfig(); };
  hooks.mSendToOwnUpstream = [this](ForwardRequest aRequest, AnswerFn aAnswer) {
    mGate->submit(std::move(aRequest), attachLoad(std::move(aAnswer)));
  };
  hooks.mSendToPeer = [this](const std::string& aAddress,
                             ForwardRequest aRequest,
                             AnswerFn aAnswer) {
    if (aRequest.large_response && mSettings.linkBytesPerSecond() > 0) {
      // The caller gets the response through this VM's link.
      aAnswer = [this, answer = std::move(aAnswer)](Answer aPeerAnswer) {
        mGate->addLinkBytes(aPeerAnswer.body.size());
        answer(std::move(aPeerAnswer));
      };
    }
    mPeerTransport->forward(aAddress, std::move(aRequest), std::move(aAnswer));
  };
  hooks.mCancelAtOwnUpstream = [this](RandomId aId) { mGate->cancel(aId); };
  hooks.mCancelAtPeer = [this](const std::string& aAddress, RandomId aId) {
    mPeerTransport->cancel(aAddress, aId);
  };
  hooks.mOnRequest = [this] {
    mHadRequests = true;
    mRetryPolicy.onRequest();
  };
  hooks.mMayRetry = [this](const ForwardRequest& aRequest) {
    return mHooks.mMayRunTwice(aRequest) &&
           mRetryPolicy.mayRetry(monotonicNow());
  };
  hooks.mParseCallerHeaders = mProtocol.mParseCallerHeaders;
  hooks.mRequestIdHeader = mProtocol.mRequestIdHeader;
  hooks.mOwnService = mSettings.mService;
  hooks.mOwnZone = mSettings.mZone;
  hooks.mNow = monotonicNow;
  return hooks;
}

void
Daemon::Impl::onCellChanged(const std::string& aService,
                            const CellState& aBefore,
                            const CellState& aAfter)
{
  if (aService == mSettings.mService) {
    mLease.onOwnCellChanged();
    updateTakeoverGuard(aBefore, aAfter);
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
Daemon::Impl::updateTakeoverGuard(const CellState& aBefore,
                                  const CellState& aAfter)
{
  const config::Model* model = mFleet.model();
  const bool known =
    model != nullptr && model->mServices.contains(mSettings.mService);
  if (known && model->mServices.at(mSettings.mService).mChecksFence) {
    return;
  }
  const Millis now = monotonicNow();
  const Millis wait = takeoverWait();
  if (!mTakeoverGuardStarted) {
    mTakeoverGuardStarted = true;
    // A store of full states does not provide earlier states. The expelled
    // members in the current state are then the only evidence of lost owners.
    const bool hasFullStates = mProtocol.isPlatform();
    mTakeoverGuard.initialize(hasFullStates ? aAfter : aBefore, now, wait);
    if (hasFullStates) {
      logOwnedShards(mTakeoverGuard, aAfter, mSelf, now);
      mAuthority.setTakeoverGuard(mTakeoverGuard);
      return;
    }
  }
  const std::vector<OwnershipChange> changes =
    ownershipChanges(aBefore, aAfter);
  for (const OwnershipChange& change : changes) {
    mTakeoverGuard.onOwnershipChange(change, now, wait);
  }
  logOwnershipChanges(changes, mTakeoverGuard, mSelf, now);
  mAuthority.setTakeoverGuard(mTakeoverGuard);
}

void
Daemon::Impl::reportLoad(Millis aNow)
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
Daemon::Impl::countTraffic(Millis aNow)
{
  if (aNow < mNextTrafficUpdate) {
    return;
  }
  mNextTrafficUpdate = aNow + kTrafficUpdateInterval;
  const PeerTransport::Traffic traffic = mPeerTransport->traffic();
  mMetrics.count("radishroad_control_sent_bytes_total",
                 traffic.mControlBytesSent - mCountedTraffic.mControlBytesSent);
  mMetrics.count("radishroad_control_received_bytes_total",
                 traffic.mControlBytesReceived -
                   mCountedTraffic.mControlBytesReceived);
  mCountedTraffic = traffic;
  recordBodyMemory();
  logStoreCalls(aNow);
}

void
Daemon::Impl::recordBodyMemory()
{
  const std::size_t used = mBodyMemory->usedBytes();
  const std::uint64_t refusals = mBodyMemory->refusals();
  mMetrics.gauge("radishroad_body_memory_bytes", static_cast<double>(used));
  mMetrics.count("radishroad_body_memory_refusals_total",
                 refusals - mCountedRefusals);
  if (refusals > mCountedRefusals) {
    logEvent(LogLevel::Warn,
             "body_memory_full",
             { { "used_bytes", used },
               { "max_bytes", mBodyMemory->maxBytes() },
               { "refused", refusals - mCountedRefusals } });
  }
  mCountedRefusals = refusals;
}

void
Daemon::Impl::onMoveOrder(const wire::MoveOrderT& aOrder)
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
Daemon::Impl::broadcastCrashReport(const wire::CrashReportT& aReport)
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
Daemon::Impl::sendControl(Incarnation aTo, wire::FrameBodyUnion aBody)
{
  const Member* member = mFleet.findMember(aTo);
  // A member that has left still serves callers for a short time and needs
  // tokens for them.
  if (member != nullptr && member->mStatus != MemberStatus::Expelled) {
    logSentFrame(aBody, monotonicNow());
    mPeerTransport->sendControl(member->mPeerAddress, aTo, std::move(aBody));
  }
}

void
Daemon::Impl::onControlFrame(Incarnation aFrom,
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
      // The consent may complete an expulsion.
      mLoop.scheduleImmediateTick();
      break;
    case wire::FrameBody::MoveOrder:
      onMoveOrder(*aBody.AsMoveOrder());
      break;
    case wire::FrameBody::TokenAsk:
      mRateLimiter.onAsk(*aBody.AsTokenAsk());
      break;
    case wire::FrameBody::TokenGrant:
      mRateLimiter.onGrant(*aBody.AsTokenGrant());
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
      mRetryPolicy.onReport(*aBody.AsCrashReport(), monotonicNow());
      break;
    default:
      break;
  }
}

}

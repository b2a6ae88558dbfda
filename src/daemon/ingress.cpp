#include "radishroad/daemon/ingress.h"

#include "ingress_pending_request.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/timer.h"
#include "radishroad/caller/header_filter.h"
#include "radishroad/config/model.h"
#include "radishroad/config/route_match.h"
#include "radishroad/daemon/caller_key.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/policy/queue_plan.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

namespace radishroad {

namespace {

/// Delay before a request that was not executed is resent.
constexpr Millis kResendDelay{ 15 };
/// How often a request is resent because its key has moved: once for the move,
/// and once more in case this daemon's view was out of date.
constexpr int kMaxOwnerChanges = 2;
/// How often a waiting request checks for a token of its workspace.
constexpr Millis kTokenPollInterval{ 5 };
/// Longest wait for requested tokens.
constexpr Millis kMaxTokenWait{ 2000 };
/// Part of the deadline reserved for the transmission of the answer.
constexpr Millis kAnswerTransmissionMargin{ 5 };
constexpr Millis kRetryAfterOutage{ 1000 };
/// How often a request checks whether the newest configuration is known, and
/// for how long.
constexpr Millis kConfigPollInterval{ 5 };
constexpr Millis kMaxConfigWait{ 100 };
/// Retry-after for requests whose key is changing its owner or has none.
constexpr Millis kUnservedRetryAfter{ 250 };
constexpr std::string_view kBearer = "Bearer ";

std::optional<std::string_view>
findHeader(const std::vector<wire::HeaderT>& aHeaders, std::string_view aName)
{
  for (const wire::HeaderT& header : aHeaders) {
    if (equalsIgnoringCase(header.name, aName)) {
      return std::string_view(header.value);
    }
  }
  return std::nullopt;
}

/// Returns the hash of the caller's key; empty if the request has no key.
std::string
hashCallerKey(const std::vector<wire::HeaderT>& aHeaders)
{
  const std::optional<std::string_view> value =
    findHeader(aHeaders, "authorization");
  if (!value ||
      !equalsIgnoringCase(value->substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  return sha256Hex(value->substr(kBearer.size()));
}

/// Fills aTo from the caller's request, without its Authorization header, and
/// from the matched route.
void
fillRequest(CallerRequest& aFrom,
            const config::RouteMatch& aMatch,
            ForwardRequest& aTo)
{
  aTo.service = aMatch.mRoute->mService;
  aTo.key_hash = hash64(aMatch.mKey);
  aTo.shard = shardOf(aTo.key_hash);
  aTo.idempotent = aMatch.mRoute->mIdempotent;
  aTo.idempotency_key =
    findHeader(aFrom.mHeaders, "idempotency-key").value_or("");
  aTo.method = std::move(aFrom.mMethod);
  aTo.target = std::move(aFrom.mTarget);
  for (wire::HeaderT& header : aFrom.mHeaders) {
    if (!equalsIgnoringCase(header.name, "authorization")) {
      aTo.headers.push_back(std::make_unique<wire::HeaderT>(std::move(header)));
    }
  }
  aTo.body.assign(aFrom.mBody.begin(), aFrom.mBody.end());
  std::string().swap(aFrom.mBody);
}

/// Identifies requests that take similar times.
std::uint32_t
runKind(const ForwardRequest& aRequest)
{
  return static_cast<std::uint32_t>(hash64(aRequest.service)) ^ aRequest.kind;
}

/// Whether the reason says that the configuration does not allow the request.
bool
isRefusalForGood(NotRunReason aReason)
{
  return aReason == NotRunReason::Unauthorized ||
         aReason == NotRunReason::NoRoute || aReason == NotRunReason::Malformed;
}

/// Whether a later attempt may succeed, since the key is changing its owner or
/// is not served at present.
bool
isTransient(NotRunReason aReason)
{
  return aReason == NotRunReason::NotOwner ||
         aReason == NotRunReason::NoOwner ||
         aReason == NotRunReason::LeaseLapsed ||
         aReason == NotRunReason::UpstreamDown ||
         aReason == NotRunReason::Draining;
}

}

Ingress::Ingress(Incarnation aSelf,
                 const FleetViewStore& aViews,
                 Timer& aTimer,
                 Metrics& aMetrics,
                 Hooks aHooks)
  : mSelf(aSelf)
  , mViews(aViews)
  , mTimer(aTimer)
  , mMetrics(aMetrics)
  , mHooks(std::move(aHooks))
{
}

CancelFn
Ingress::handle(CallerRequest aRequest, AnswerFn aAnswer)
{
  const PendingRequestPtr pending = std::make_shared<PendingRequest>();
  pending->mAnswer = std::move(aAnswer);
  pending->mReceivedAt = aRequest.mReceivedAt;
  pending->mStartedAt = std::max(aRequest.mReceivedAt, aRequest.mStartedAt);
  pending->mRequest.id_high = aRequest.mId.mHigh;
  pending->mRequest.id_low = aRequest.mId.mLow;
  pending->mCallerRequest = std::move(aRequest);
  begin(pending);
  return [this, weak = std::weak_ptr<PendingRequest>(pending)] {
    if (const PendingRequestPtr locked = weak.lock()) {
      cancel(*locked);
    }
  };
}

void
Ingress::begin(const PendingRequestPtr& aPending)
{
  if (aPending->mCancelled) {
    finishCancelled(aPending);
    return;
  }
  const std::optional<Millis> asOf = mHooks.mConfigAsOf();
  const std::shared_ptr<const FleetView> view = mViews.get();
  CallerRequest& request = aPending->mCallerRequest;
  NotRunReason reason = mHooks.mParseCallerHeaders
                          ? preparePlatformRequest(request, *view, *aPending)
                          : prepare(request, *view, *aPending);
  if (reason == NotRunReason::None) {
    aPending->mRefusalBasis.reset();
    mHooks.mOnRequest();
    admit(aPending);
    return;
  }
  const RandomId id = idOf(aPending->mRequest);
  const Millis receivedAt = aPending->mReceivedAt;
  aPending->mRefusalBasis = { view->mOperatorVersion, asOf };
  if (!isRefusalForGood(reason) || mHooks.mMayRefuseForGood(asOf, receivedAt)) {
    finish(aPending, makeNotRunAnswer(id, reason));
    return;
  }
  const bool isAsked = mHooks.mCheckConfig();
  if (isAsked && mHooks.mNow() < receivedAt + kMaxConfigWait) {
    mTimer.after(kConfigPollInterval, [this, aPending] { begin(aPending); });
    return;
  }
  finish(
    aPending,
    makeNotRunAnswer(
      id,
      NotRunReason::ConfigUnconfirmed,
      retryAfterOutage(kRetryAfterOutage, aPending->mRequest.rank, id.mLow)));
}

NotRunReason
Ingress::prepare(CallerRequest& aRequest,
                 const FleetView& aView,
                 PendingRequest& aPending) const
{
  if (aView.mModel == nullptr) {
    return NotRunReason::NoOwner;
  }
  const config::Model& model = *aView.mModel;
  const std::optional<config::RouteMatch> match =
    config::matchRoute(model,
                       aRequest.mMethod,
                       aRequest.mTarget,
                       [&aRequest](std::string_view aName) {
                         return findHeader(aRequest.mHeaders, aName);
                       });
  if (!match) {
    return NotRunReason::NoRoute;
  }
  const config::Route& route = *match->mRoute;
  const std::string callerKey = hashCallerKey(aRequest.mHeaders);
  ForwardRequest& request = aPending.mRequest;
  request.workspace = findWorkspace(model, callerKey);
  request.config_version = aView.mConfigVersion;
  aPending.mRateExempt = route.mIsPublic && request.workspace.empty();
  if (!route.mIsPublic) {
    request.caller_key = callerKey;
    const NotRunReason reason = checkCallerKey(request, aView);
    if (reason != NotRunReason::None) {
      return reason;
    }
  }
  fillRequest(aRequest, *match, request);
  aPending.mDeadline =
    aPending.mReceivedAt + model.mServices.at(route.mService).mDeadline;
  aPending.mTokenWaitEnd = aPending.mStartedAt + kMaxTokenWait;
  aPending.mObjectiveAt = aPending.mDeadline;
  aPending.mResendUntil = aPending.mDeadline;
  return NotRunReason::None;
}

NotRunReason
Ingress::checkCallerKey(const ForwardRequest& aRequest,
                        const FleetView& aView) const
{
  if (aRequest.caller_key.empty()) {
    return NotRunReason::None;
  }
  if (aRequest.workspace.empty()) {
    return NotRunReason::Unauthorized;
  }
  const NotRunReason reason = checkKeyAgain(aView, aRequest);
  if (reason != NotRunReason::None) {
    return reason;
  }
  // An outdated configuration might still contain a withdrawn key, so the
  // request is refused.
  return mHooks.mConfigFresh() ? NotRunReason::None : NotRunReason::NoOwner;
}

void
Ingress::beginStop(const StopSchedule& aSchedule)
{
  const std::lock_guard<std::mutex> lock(mStopMutex);
  mStop = aSchedule;
}

bool
Ingress::refuseUnfinishable(const PendingRequestPtr& aPending)
{
  const Millis now = mHooks.mNow();
  Millis retryAfter;
  {
    const std::lock_guard<std::mutex> lock(mStopMutex);
    const bool isTaken =
      !mStop || mRunTimes.willEndBy(mStop->mWorkUntil,
                                    aPending->mDeadline,
                                    runKind(aPending->mRequest),
                                    now);
    if (isTaken) {
      return false;
    }
    // This process has ended by then.
    retryAfter = std::max(kUnservedRetryAfter, mStop->mAnswersUntil - now);
  }
  mMetrics.count("radishroad_stop_refusals_total");
  finish(aPending,
         makeNotRunAnswer(
           idOf(aPending->mRequest), NotRunReason::Draining, retryAfter));
  return true;
}

void
Ingress::admit(const PendingRequestPtr& aPending)
{
  if (aPending->mCancelled) {
    cancelTokenWait(aPending);
    finishCancelled(aPending);
    return;
  }
  if (refuseUnfinishable(aPending)) {
    cancelTokenWait(aPending);
    return;
  }
  if (aPending->mRateExempt) {
    send(aPending);
    return;
  }
  const std::string& workspace = aPending->mRequest.workspace;
  const TakeResult verdict =
    mHooks.mTakeToken(workspace, aPending->mIsWaitingForTokens);
  if (verdict == TakeResult::Taken) {
    send(aPending);
    return;
  }
  if (verdict == TakeResult::WaitForGrant) {
    if (mHooks.mNow() < aPending->mTokenWaitEnd) {
      aPending->mIsWaitingForTokens = true;
      mTimer.after(kTokenPollInterval, [this, aPending] { admit(aPending); });
      return;
    }
    mHooks.mCancelTokenWait(workspace);
  }
  refuseRateLimited(aPending);
}

void
Ingress::refuseRateLimited(const PendingRequestPtr& aPending)
{
  const ForwardRequest& request = aPending->mRequest;
  const bool isOwnerUnresponsive =
    mHooks.mTokenState &&
    mHooks.mTokenState(request.workspace).mLastAskUnanswered;
  const Millis retryAfter = retryAfterOutage(
    mHooks.mRetryAfter(request.workspace), request.rank, request.id_low);
  finish(aPending,
         makeNotRunAnswer(idOf(request),
                          isOwnerUnresponsive ? NotRunReason::NoOwner
                                              : NotRunReason::RateLimited,
                          retryAfter));
}

void
Ingress::cancelTokenWait(const PendingRequestPtr& aPending)
{
  if (aPending->mIsWaitingForTokens) {
    mHooks.mCancelTokenWait(aPending->mRequest.workspace);
  }
}

void
Ingress::send(const PendingRequestPtr& aPending)
{
  if (aPending->mCancelled) {
    finishCancelled(aPending);
    return;
  }
  const Millis left =
    aPending->mDeadline - mHooks.mNow() - kAnswerTransmissionMargin;
  if (left <= Millis{}) {
    const NotRunReason reason = aPending->mLastReason == NotRunReason::None
                                  ? NotRunReason::DeadlinePassed
                                  : aPending->mLastReason;
    finish(
      aPending,
      makeNotRunAnswer(idOf(aPending->mRequest), reason, kRetryAfterOutage));
    return;
  }
  if (refuseUnfinishable(aPending)) {
    return;
  }
  const std::optional<Millis> asOf = mHooks.mConfigAsOf();
  const std::shared_ptr<const FleetView> view = mViews.get();
  NotRunReason reason = checkCallerKey(aPending->mRequest, *view);
  if (reason == NotRunReason::Unauthorized &&
      !mHooks.mMayRefuseForGood(asOf, aPending->mReceivedAt)) {
    reason = NotRunReason::ConfigUnconfirmed;
    mHooks.mCheckConfig();
  }
  if (reason == NotRunReason::NoOwner) {
    scheduleResend(aPending, reason);
    return;
  }
  if (reason != NotRunReason::None) {
    const Millis retryAfter = reason == NotRunReason::ConfigUnconfirmed
                                ? kUnservedRetryAfter
                                : Millis{};
    aPending->mRefusalBasis = { view->mOperatorVersion, asOf };
    finish(aPending,
           makeNotRunAnswer(idOf(aPending->mRequest), reason, retryAfter));
    return;
  }
  const CellState* cell = view->cell(aPending->mRequest.service);
  if (aPending->mUnkeyed) {
    sendUnkeyed(aPending, *view, cell);
    return;
  }
  const Ownership ownership =
    cell == nullptr ? Ownership{} : ownerOf(*cell, aPending->mRequest.key_hash);
  if (ownership.mOwner == 0) {
    scheduleResend(aPending, NotRunReason::NoOwner);
    return;
  }
  const auto member = cell->mMembers.find(ownership.mOwner);
  if (member == cell->mMembers.end()) {
    // Another writer's state may name an owner that is no member.
    scheduleResend(aPending, NotRunReason::NoOwner);
    return;
  }
  const Member& owner = member->second;
  // The owner's daemon may have learned of the zone's removal later.
  if (!view->mayServeKeys(owner.mZone, mHooks.mNow())) {
    scheduleResend(aPending, NotRunReason::Draining);
    return;
  }
  ForwardRequest request = makeAttempt(*aPending, *view);
  request.epoch = ownership.mEpoch;
  request.view_offset = cell->mNextOffset;
  dispatch(aPending, std::move(request), *view, owner);
}

ForwardRequest
Ingress::makeAttempt(const PendingRequest& aPending,
                     const FleetView& aView) const
{
  const Millis now = mHooks.mNow();
  ForwardRequest request = aPending.mRequest;
  Millis deadline = aPending.mDeadline;
  {
    const std::lock_guard<std::mutex> lock(mStopMutex);
    if (mStop && deadline > mStop->mWorkUntil) {
      // The upstream gives up before this daemon does, so that the caller gets
      // its answer.
      request.work_left_ms = (mStop->mWorkUntil - now).mCount;
      deadline = std::min(deadline, mStop->mAnswersUntil);
    }
  }
  request.time_left_ms = (deadline - now - kAnswerTransmissionMargin).mCount;
  request.config_version = aView.mConfigVersion;
  const bool hasObjective = aPending.mObjectiveAt != aPending.mDeadline;
  const Millis left = std::max(
    Millis{ 1 }, aPending.mObjectiveAt - now - kAnswerTransmissionMargin);
  request.objective_ms = hasObjective ? left.mCount : 0;
  return request;
}

void
Ingress::dispatch(const PendingRequestPtr& aPending,
                  ForwardRequest aRequest,
                  const FleetView& aView,
                  const Member& aOwner)
{
  // The callback may run within the calls below, while mAttemptMutex is held;
  // Ingress::onAnswer() must not lock it.
  AnswerFn onAnswer = [this, aPending](Answer aAnswer) {
    this->onAnswer(aPending, std::move(aAnswer));
  };
  const std::lock_guard<std::mutex> lock(aPending->mAttemptMutex);
  aPending->mSentAt = mHooks.mNow();
  aPending->mSentTo = aOwner.mIncarnation;
  aPending->mPeerAddress = aOwner.mPeerAddress;
  aPending->mSentToVm = aOwner.mVm;
  if (const config::ZoneOutage* outage = aView.zoneOutage(aOwner.mZone)) {
    aPending->mZoneOut = aOwner.mZone;
    aPending->mZoneKnownOut = mHooks.mNow() - outage->mLearnedAt;
  }
  {
    const std::lock_guard<std::mutex> noticeLock(mNoticeMutex);
    aRequest.notice = mNotices.noticeFor(aOwner.mVm, mHooks.mNow());
  }
  if (aPending->mCancelled) {
    onAnswer(makeNotRunAnswer(idOf(aRequest), NotRunReason::Cancelled));
  } else if (aOwner.mIncarnation == mSelf) {
    mHooks.mSendToOwnUpstream(std::move(aRequest), std::move(onAnswer));
  } else {
    mHooks.mSendToPeer(
      aOwner.mPeerAddress, std::move(aRequest), std::move(onAnswer));
  }
}

void
Ingress::cancel(PendingRequest& aPending)
{
  aPending.mCancelled = true;
  const std::lock_guard<std::mutex> lock(aPending.mAttemptMutex);
  if (aPending.mSentTo == mSelf) {
    mHooks.mCancelAtOwnUpstream(idOf(aPending.mRequest));
  } else if (aPending.mSentTo != 0) {
    mHooks.mCancelAtPeer(aPending.mPeerAddress, idOf(aPending.mRequest));
  }
}

void
Ingress::onAnswer(const PendingRequestPtr& aPending, Answer aAnswer)
{
  recordNotice(*aPending, aAnswer);
  recordAnswer(*aPending, aAnswer);
  recordRunTime(*aPending, aAnswer);
  if (aPending->mCancelled) {
    finish(aPending, std::move(aAnswer));
    return;
  }
  const Millis now = mHooks.mNow();
  if (aPending->mUnkeyed && tryAnotherUpstream(*aPending, aAnswer, now) &&
      (aAnswer.reason != NotRunReason::Shed ||
       (consumeAttempt(*aPending) && mHooks.mMayRetry(aPending->mRequest)))) {
    aPending->mLastReason = aAnswer.reason;
    mTimer.after(Millis{ 0 }, [this, aPending] { send(aPending); });
    return;
  }
  // A refusal by the next owner of a key states when it will serve the key.
  const bool isLongWait =
    mHooks.mParseCallerHeaders &&
    Millis{ aAnswer.retry_after_ms } > kUnservedRetryAfter;
  const bool inTime = now < aPending->mResendUntil && !isLongWait;
  const bool shouldFollowKey =
    mHooks.mParseCallerHeaders && !aPending->mUnkeyed &&
    aAnswer.kind == AnswerKind::NotRun &&
    aAnswer.reason == NotRunReason::NotOwner && now < aPending->mObjectiveAt &&
    aPending->mOwnerChanges < kMaxOwnerChanges;
  if (shouldFollowKey) {
    // The request was queued at the previous owner while its key moved; the
    // next owner serves the key by now.
    ++aPending->mOwnerChanges;
    aPending->mLastReason = aAnswer.reason;
    mTimer.after(kResendDelay, [this, aPending] { send(aPending); });
    return;
  }
  if (aAnswer.kind == AnswerKind::NotRun && isTransient(aAnswer.reason) &&
      !aPending->mUnkeyed && inTime) {
    scheduleResend(aPending, aAnswer.reason);
    return;
  }
  if (aAnswer.kind == AnswerKind::Unknown && now < aPending->mDeadline &&
      consumeAttempt(*aPending) && mHooks.mMayRetry(aPending->mRequest)) {
    aPending->mMayHaveRun = true;
    mMetrics.count("radishroad_retries_total");
    scheduleResend(aPending, NotRunReason::None);
    return;
  }
  finish(aPending, std::move(aAnswer));
}

void
Ingress::recordRunTime(const PendingRequest& aPending, const Answer& aAnswer)
{
  const bool hasRun = aAnswer.kind == AnswerKind::Answered ||
                      (aAnswer.kind == AnswerKind::Unknown &&
                       aAnswer.reason == NotRunReason::DeadlinePassed);
  if (hasRun) {
    const Millis now = mHooks.mNow();
    const std::lock_guard<std::mutex> lock(mStopMutex);
    mRunTimes.add(runKind(aPending.mRequest), now - aPending.mSentAt, now);
  }
}

void
Ingress::recordNotice(const PendingRequest& aPending, const Answer& aAnswer)
{
  if (aAnswer.notice == nullptr) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mNoticeMutex);
  mNotices.onAnswer(aPending.mSentToVm, *aAnswer.notice, mHooks.mNow());
}

void
Ingress::scheduleResend(const PendingRequestPtr& aPending, NotRunReason aReason)
{
  aPending->mLastReason = aReason;
  // Refuses the request now, while its caller still has time to retry.
  const bool isTooLate =
    aReason != NotRunReason::None &&
    mHooks.mNow() + kResendDelay >= aPending->mResendUntil &&
    aPending->mResendUntil < aPending->mDeadline;
  if (isTooLate) {
    finish(
      aPending,
      makeNotRunAnswer(idOf(aPending->mRequest), aReason, kUnservedRetryAfter));
    return;
  }
  mTimer.after(kResendDelay, [this, aPending] { send(aPending); });
}

void
Ingress::finishCancelled(const PendingRequestPtr& aPending)
{
  finish(aPending,
         makeNotRunAnswer(idOf(aPending->mRequest), NotRunReason::Cancelled));
}

void
Ingress::finish(const PendingRequestPtr& aPending, Answer aAnswer)
{
  if (aPending->mMayHaveRun && aAnswer.kind == AnswerKind::NotRun) {
    aAnswer = makeUnknownAnswer(idOf(aPending->mRequest));
  }
  if (mHooks.mParseCallerHeaders && aAnswer.kind != AnswerKind::Answered) {
    addRefusalHeaders(*aPending, aAnswer);
  }
  if (aAnswer.kind == AnswerKind::Answered) {
    const std::lock_guard<std::mutex> lock(mUnframedMutex);
    mUnframedServices.onAnswer(
      aPending->mRequest.service, aAnswer.ends_with_connection, mHooks.mNow());
  }
  logOutcome(*aPending, aAnswer);
  mMetrics.count(std::string("radishroad_requests_total{outcome=\"") +
                 wire::EnumNameAnswerKind(aAnswer.kind) + "\",reason=\"" +
                 wire::EnumNameNotRunReason(aAnswer.reason) + "\"}");
  mMetrics.observe("radishroad_request_seconds",
                   mHooks.mNow() - aPending->mReceivedAt);
  aPending->mAnswer(std::move(aAnswer));
}

}

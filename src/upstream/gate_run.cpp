#include "gate_impl.h"

#include "radishroad/base/json_log.h"
#include "radishroad/upstream/upstream_headers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// libcurl's timeout is later than the deadline, which the gate itself checks.
constexpr Millis kTimeoutMargin{ 1000 };
/// The upstream may close an idle connection just as a request is written to
/// it; then it is not known whether the request was run. Requests that must not
/// run twice therefore use only connections that were in use recently.
constexpr Millis kMaxIdle{ 30000 };
constexpr Millis kMaxIdleNotIdempotent{ 2000 };
/// Pause before a request is retried after its connection failed.
constexpr Millis kReconnectPause{ 20 };
/// Pause before a request is retried after the upstream has shed it.
constexpr Millis kShedPause{ 20 };
/// How often a request whose key the upstream does not hold yet is retried.
constexpr Millis kGrantPollInterval{ 5 };
constexpr int kMaxRejections = 3;

/// The id that the upstream sees.
std::string
attemptId(const ForwardRequest& aRequest)
{
  return aRequest.request_id.empty() ? idOf(aRequest).toString()
                                     : aRequest.request_id;
}

/// When the request expires at the daemon that took it.
Millis
callerDeadline(const QueuedRequest& aQueued)
{
  return aQueued.mQueuedAt + Millis{ aQueued.mRequest.time_left_ms };
}

}

std::uint32_t
Gate::Impl::occupiedSlots() const
{
  return static_cast<std::uint32_t>(mRuns.size() + mAbandoned.size());
}

bool
Gate::Impl::hasNonIdempotentRoom() const
{
  const auto runs = std::ranges::count_if(mRuns, [](const auto& aEntry) {
    return !aEntry.second.mQueued.mRequest.idempotent;
  });
  const auto abandoned = std::ranges::count_if(
    mAbandoned, [](const auto& aEntry) { return !aEntry.second.mIdempotent; });
  return mOptions.mLimitsDisabled ||
         runs + abandoned < mWindow.nonIdempotentLimit();
}

bool
Gate::Impl::mayStart(Millis aNow)
{
  if (!mHealth.healthy() || isDrainOver(aNow) || !mNamedLimit.maySend(aNow)) {
    return false;
  }
  if (mOptions.mProtocol.mPushesReports) {
    return occupiedSlots() < slotLimit();
  }
  return mOptions.mLimitsDisabled ||
         (occupiedSlots() < mWindow.limit() && hasConnection(aNow));
}

void
Gate::Impl::dispatch(Millis aNow)
{
  if (mOptions.mProtocol.mPushesReports) {
    dispatchByObjective(aNow);
    return;
  }
  bool mayStartNonIdempotent = false;
  const auto isEligible = [&](const QueuedRequest& aQueued) {
    return aNow >= aQueued.mNotBefore && aNow < latestSendTime(aQueued) &&
           !isShardPaused(aQueued.mRequest.shard) &&
           !isAbandoned(idOf(aQueued.mRequest)) &&
           (aQueued.mRequest.idempotent || mayStartNonIdempotent);
  };
  while (mayStart(aNow)) {
    mayStartNonIdempotent = hasNonIdempotentRoom();
    std::optional<QueuedRequest> queued = mQueue.pop(isEligible);
    if (!queued) {
      return;
    }
    tryStartRun(std::move(*queued), aNow);
  }
}

void
Gate::Impl::tryStartRun(QueuedRequest aQueued, Millis aNow)
{
  if (aQueued.mRequest.notice != nullptr &&
      learnFrom(*aQueued.mRequest.notice)) {
    // The caller checks again whether a request may start.
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  if (isCrashSuspect(aQueued.mFingerprint)) {
    // A similar request may just have crashed the upstream; this one waits
    // until a probe has shown whether it did.
    aQueued.mNotBefore = aNow + kReconnectPause;
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  if (mHooks.mIsQuarantined && mHooks.mIsQuarantined(aQueued.mFingerprint)) {
    refuse(aQueued, NotRunReason::Quarantined);
    return;
  }
  const ServeDecision decision = mHooks.mMayServe(aQueued.mRequest);
  const bool retryLater = decision.mRefusal == NotRunReason::LeaseLapsed &&
                          decision.mRetryAt > aNow &&
                          decision.mRetryAt < aQueued.mDeadline;
  if (retryLater) {
    aQueued.mNotBefore = decision.mRetryAt;
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  if (decision.mRefusal != NotRunReason::None) {
    refuse(aQueued, decision.mRefusal, decision.mEpoch);
    return;
  }
  if (!holdsKey(aQueued.mRequest, decision.mEpoch)) {
    aQueued.mNotBefore = aNow + kGrantPollInterval;
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  aQueued.mRepeatsId = mSentIds.contains(attemptId(aQueued.mRequest));
  const bool mustWaitForConnection =
    aQueued.mRepeatsId && pacesConnections() && !mPacer.mayOpen(aNow);
  if (mustWaitForConnection) {
    aQueued.mNotBefore = mPacer.nextOpen();
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  startRun(std::move(aQueued), decision);
}

void
Gate::Impl::startRun(QueuedRequest aQueued, const ServeDecision& aDecision)
{
  const Millis now = mHooks.mNow();
  mColdStartLimiter.onSent(now);
  mNamedLimit.onSent(now);
  const RunId id = mNextRun++;
  Run& run = mRuns[id];
  run.mQueued = std::move(aQueued);
  run.mQueued.mResponse = {};
  run.mStartedAt = now;
  run.mEpoch = aDecision.mEpoch;
  run.mServeUntil = aDecision.mServeUntil;

  const ForwardRequest& request = run.mQueued.mRequest;
  if (request.large_response) {
    mLink.onStart(id, makeLinkEntry(run.mQueued), now);
  }
  run.mEndTime = std::min(run.mQueued.mDeadline, now + mService.mRunLimit);
  const Millis left = run.mEndTime - now;
  const Millis workLeft = std::min(left, workUntil(run.mQueued) - now);
  UpstreamRequest upstream;
  upstream.mUpstream = mOptions.mUpstream;
  upstream.mPurpose = kRunPurpose;
  upstream.mMethod = request.method;
  upstream.mTarget = request.target;
  upstream.mHeaderLines = mOptions.mProtocol.mHeaderLines(
    request, mAppliedReport.mInstance, run.mEpoch, workLeft);
  upstream.mBody = request.body;
  upstream.mTimeout = left + kTimeoutMargin;
  upstream.mMaxIdle = request.idempotent ? kMaxIdle : kMaxIdleNotIdempotent;
  upstream.mMaxBodyBytes = mOptions.mMaxBodyBytes;
  upstream.mBodyMemory = mOptions.mBodyMemory;
  // A response tells which id it belongs to, not which attempt. An id is
  // therefore sent over each connection once.
  upstream.mNeedsFreshConnection = run.mQueued.mRepeatsId;
  upstream.mEchoHeader = mOptions.mProtocol.mEchoHeader;
  upstream.mEchoValue = request.request_id;
  upstream.mAcceptsUnframedBody = mOptions.mProtocol.mAcceptsUnframedBody;
  if (mayStream(run.mQueued)) {
    upstream.mStream = streamHooks(id);
    // A streamed body may outlast the deadline, which the gate itself checks.
    upstream.mTimeout = kMaxStreamTime + kTimeoutMargin;
  }
  run.mExchange = mExchanges.start(
    upstream,
    [this, id] { return maySend(id); },
    [this, id](ExchangeOutcome aOutcome, CURLcode, UpstreamResponse aResponse) {
      onRunEnd(id, aOutcome, std::move(aResponse));
    });
}

bool
Gate::Impl::needsLeaseWhileRunning() const
{
  return !mOptions.mProtocol.mGrant;
}

bool
Gate::Impl::maySend(RunId aId)
{
  Run& run = mRuns.at(aId);
  const ForwardRequest& request = run.mQueued.mRequest;
  const ServeDecision decision = mHooks.mMayServe(request);
  const bool served =
    decision.mRefusal == NotRunReason::None && decision.mEpoch == run.mEpoch;
  const Millis now = mHooks.mNow();
  const bool inTime = now < std::min(run.mEndTime, workUntil(run.mQueued));
  run.mSendDenied = !served || !inTime || isShardPaused(request.shard) ||
                    !holdsKey(request, run.mEpoch) || isDrainOver(now);
  run.mSent = !run.mSendDenied;
  run.mServeUntil = run.mSent && !needsLeaseWhileRunning()
                      ? Millis::max()
                      : decision.mServeUntil;
  mSentSinceLimitUse += run.mSent ? 1 : 0;
  run.mSentAt = now;
  run.mInFlight = occupiedSlots();
  recordAdaptiveStart(run);
  return run.mSent;
}

void
Gate::Impl::onRunEnd(RunId aId,
                     ExchangeOutcome aOutcome,
                     UpstreamResponse aResponse)
{
  auto node = mRuns.extract(aId);
  Run& run = node.mapped();
  run.mQueued.mResponse = aResponse.mTrace;
  recordLinkUse(aId, aOutcome, aResponse);
  if (run.mStream) {
    onStreamEnd(run, aOutcome);
    return;
  }
  switch (aOutcome) {
    case ExchangeOutcome::Complete:
      onComplete(std::move(run), std::move(aResponse));
      break;
    case ExchangeOutcome::NotSent:
    case ExchangeOutcome::ConnectionRefused:
      onNotSent(std::move(run), aOutcome);
      break;
    case ExchangeOutcome::Incomplete:
      onIncomplete(std::move(run));
      break;
  }
}

void
Gate::Impl::onComplete(Run aRun, UpstreamResponse aResponse)
{
  // Held until the answer has been passed on.
  const BodyShare bodyShare = std::move(aResponse.mBodyShare);
  const Millis now = mHooks.mNow();
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  recordResponse(aRun, aResponse);
  QueuedRequest& queued = aRun.mQueued;
  const NotRunReason reason = protocol.mReadNotRunReason(aResponse);
  if (reason == NotRunReason::Shed) {
    mMetrics.count("radishroad_gate_shed_total");
    mWindow.onShed(now);
  }
  const bool retry = reason == NotRunReason::Shed && !protocol.mPushesReports &&
                     queued.mRejections < kMaxRejections &&
                     mRetryBudget.tryRetry(now);
  if (retry) {
    ++queued.mRejections;
    queued.mNotBefore = now + kShedPause;
    mQueue.pushFront(std::move(queued));
    return;
  }
  const bool notHeld =
    reason == NotRunReason::NotOwner && protocol.mPushesReports;
  if (notHeld && isFromOtherInstance(aResponse)) {
    onProcessEnded(LostCause::OtherInstance,
                   aRun.mSentAt,
                   aResponse.header(protocol.mInstanceHeader));
    refuse(queued, NotRunReason::UpstreamDown);
    return;
  }
  if (notHeld && queued.mRejections < kMaxRejections &&
      queued.mRequest.shard < kShardCount) {
    // A grant has expired, or the upstream has restarted and not reported yet.
    mGrants.onNotHeld(queued.mRequest.key_hash, now);
    ++queued.mRejections;
    queued.mNotBefore = now + kGrantPollInterval;
    mQueue.pushFront(std::move(queued));
    return;
  }
  recordAdaptiveAnswer(aRun, reason, aResponse);
  if (reason != NotRunReason::None) {
    refuse(queued, reason);
    return;
  }
  if (!protocol.mIsAuthentic(aResponse)) {
    mMetrics.count("radishroad_gate_spoilt_answers_total");
    answer(queued, makeUnknownAnswer(idOf(queued.mRequest)));
    return;
  }
  recordServed(aRun, now);
  answer(queued, makeAnswered(queued.mRequest, std::move(aResponse)));
}

void
Gate::Impl::recordResponse(const Run& aRun, const UpstreamResponse& aResponse)
{
  const Millis now = mHooks.mNow();
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  if (protocol.mPushesReports) {
    recordReportedLoad(aResponse);
    recordProcess(aResponse, isFromReportedInstance(aResponse), aRun.mSentAt);
  } else {
    onHealthChange(
      mHealth.onAnswer(aResponse.header(protocol.mInstanceHeader)));
  }
  const QueuedRequest& queued = aRun.mQueued;
  mSentIds.add(attemptId(queued.mRequest), callerDeadline(queued), now);
  if (protocol.mIsAuthentic(aResponse)) {
    recordNotice(aResponse, aRun.mSentAt);
  }
}

void
Gate::Impl::onNotSent(Run aRun, ExchangeOutcome aOutcome)
{
  const Millis now = mHooks.mNow();
  QueuedRequest& queued = aRun.mQueued;
  if (!aRun.mSendDenied) {
    mMetrics.count("radishroad_gate_connect_failures_total");
    if (aOutcome == ExchangeOutcome::ConnectionRefused) {
      onProcessEnded(LostCause::ConnectionRefused, aRun.mStartedAt);
    }
    mHealth.requestProbe(now);
    queued.mNotBefore = now + kReconnectPause;
  }
  // It was certainly not run, so it may be retried until its deadline.
  mQueue.pushFront(std::move(queued));
}

void
Gate::Impl::onIncomplete(Run aRun)
{
  trackIncomplete(aRun, mHooks.mNow());
  answer(aRun.mQueued, makeUnknownAnswer(idOf(aRun.mQueued.mRequest)));
}

void
Gate::Impl::trackIncomplete(const Run& aRun, Millis aNow)
{
  using End = ResponseTrace::End;
  const End end = aRun.mQueued.mResponse.mEnd;
  const bool connectionLost = end == End::BeforeHead || end == End::InHead ||
                              end == End::InBody || end == End::Failed;
  if (connectionLost) {
    recordAdaptiveEnd(aRun, AdaptiveConcurrency::Outcome::Reset);
    suspectCrash(aRun);
  }
  // Possibly only the connection was lost and the request still runs.
  trackAbandoned(aRun, aNow);
}

void
Gate::Impl::abandon(RunId aId, NotRunReason aReason)
{
  auto node = mRuns.extract(aId);
  if (node.empty()) {
    return;
  }
  Run& run = node.mapped();
  mLink.onLost(aId, mHooks.mNow());
  if (!mExchanges.abort(run.mExchange)) {
    if (aReason == NotRunReason::LeaseLapsed) {
      // It was not run, so it returns to the queue for a new decision.
      mQueue.pushFront(std::move(run.mQueued));
      return;
    }
    refuse(run.mQueued, aReason);
    return;
  }
  const Millis now = mHooks.mNow();
  run.mQueued.mAbandonReason = aReason;
  if (run.mStream) {
    finishStream(run, false, wire::EnumNameNotRunReason(aReason));
    trackAbandoned(run, now);
    return;
  }
  if (aReason == NotRunReason::DeadlinePassed) {
    mWindow.onTimeout(now - run.mSentAt, now);
    mLongestRunTimes.add(run.mQueued.mRequest.kind, now - run.mSentAt, now);
  }
  trackAbandoned(run, now);
  Answer unknown = makeUnknownAnswer(idOf(run.mQueued.mRequest));
  if (aReason == NotRunReason::DeadlinePassed) {
    unknown.reason = aReason;
  }
  answer(run.mQueued, std::move(unknown));
}

void
Gate::Impl::refuse(QueuedRequest& aQueued,
                   NotRunReason aReason,
                   Epoch aEpoch,
                   Millis aRetryAfter)
{
  Answer refusal =
    makeNotRunAnswer(idOf(aQueued.mRequest), aReason, aRetryAfter);
  refusal.epoch = aEpoch;
  answer(aQueued, std::move(refusal));
}

void
Gate::Impl::answer(QueuedRequest& aQueued, Answer aAnswer)
{
  mQueuedCount.fetch_sub(1);
  aAnswer.notice = noticeForAnswers();
  setKindRunTime(aQueued, aAnswer);
  mMetrics.count(std::string("radishroad_gate_answers_total{kind=\"") +
                 wire::EnumNameAnswerKind(aAnswer.kind) + "\"}");
  if (mHooks.mOnAnswer) {
    mHooks.mOnAnswer(aQueued, aAnswer, currentStats(mHooks.mNow()));
  }
  const std::vector<DeduplicationCache::Waiter> waiters =
    mDeduplicationCache.finish(
      aQueued.mDeduplicationKey, aAnswer, mHooks.mNow());
  mCacheShare.resize(mDeduplicationCache.bytes());
  for (const DeduplicationCache::Waiter& waiter : waiters) {
    mLink.onSent(aAnswer.body.size(), mHooks.mNow());
    waiter.mAnswer(withId(aAnswer, waiter.mId));
  }
  aQueued.mAnswer(std::move(aAnswer));
}

}

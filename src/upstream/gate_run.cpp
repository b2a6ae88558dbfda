#include "gate_impl.h"

#include "radishroad/upstream/upstream_headers.h"

#include <algorithm>

namespace radishroad {

namespace {

/// libcurl's own timeout lies past the deadline, which the gate watches.
constexpr Millis kTimeoutSlack{ 1000 };
/// The upstream may close an idle connection just as a request is written to
/// it, and then it is not known whether that ran. Requests that must not run
/// twice therefore use connections that were busy a moment ago only.
constexpr Millis kMaxIdle{ 30000 };
constexpr Millis kMaxIdleNotIdempotent{ 2000 };
/// Pause before a request that could not be connected is tried again.
constexpr Millis kReconnectPause{ 20 };
constexpr Millis kShedPause{ 20 };
/// Pause before a request whose key the upstream does not hold yet is looked
/// at again.
constexpr Millis kGrantWait{ 5 };
constexpr int kMaxSheds = 3;

}

std::uint32_t
Gate::Impl::busy() const
{
  return static_cast<std::uint32_t>(mRuns.size() + mGivenUp.size());
}

bool
Gate::Impl::mayStartNotIdempotent() const
{
  const auto runs = std::ranges::count_if(mRuns, [](const auto& aEntry) {
    return !aEntry.second.mQueued.mRequest.idempotent;
  });
  const auto givenUp = std::ranges::count_if(
    mGivenUp, [](const auto& aEntry) { return !aEntry.second.mIdempotent; });
  return mOptions.mUnguarded || runs + givenUp < mWindow.nonIdempotentLimit();
}

bool
Gate::Impl::mayStart(Millis aNow) const
{
  if (!mHealth.healthy()) {
    return false;
  }
  if (mOptions.mProtocol.mReports) {
    return busy() < mSlots && !isClosed(aNow);
  }
  return mOptions.mUnguarded ||
         (busy() < mWindow.limit() && hasConnection(aNow));
}

void
Gate::Impl::dispatch(Millis aNow)
{
  if (mOptions.mProtocol.mReports) {
    dispatchByObjective(aNow);
    return;
  }
  bool roomForAny = false;
  const auto mayGo = [&](const QueuedRequest& aQueued) {
    return aNow >= aQueued.mNotBefore && aNow < lastSend(aQueued) &&
           !isHeldBack(aQueued.mRequest.shard) &&
           !isGivenUp(idOf(aQueued.mRequest)) &&
           (aQueued.mRequest.idempotent || roomForAny);
  };
  while (mayStart(aNow)) {
    roomForAny = mayStartNotIdempotent();
    std::optional<QueuedRequest> queued = mQueue.pop(mayGo);
    if (!queued) {
      return;
    }
    decide(std::move(*queued), aNow);
  }
}

void
Gate::Impl::decide(QueuedRequest aQueued, Millis aNow)
{
  if (isCrashSuspect(aQueued.mFingerprint)) {
    // A copy of what may just have crashed the upstream waits for the probe.
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
    aQueued.mNotBefore = aNow + kGrantWait;
    mQueue.pushFront(std::move(aQueued));
    return;
  }
  startRun(std::move(aQueued), decision);
}

void
Gate::Impl::startRun(QueuedRequest aQueued, const ServeDecision& aDecision)
{
  const Millis now = mHooks.mNow();
  mCold.onSent(now);
  const RunId id = mNextRun++;
  Run& run = mRuns[id];
  run.mQueued = std::move(aQueued);
  run.mEpoch = aDecision.mEpoch;
  run.mServeUntil = aDecision.mServeUntil;

  const ForwardRequest& request = run.mQueued.mRequest;
  run.mEndBy = std::min(run.mQueued.mDeadline, now + mService.mRunLimit);
  const Millis left = run.mEndBy - now;
  UpstreamRequest upstream;
  upstream.mUpstream = mOptions.mUpstream;
  upstream.mMethod = request.method;
  upstream.mTarget = request.target;
  upstream.mHeaderLines = mOptions.mProtocol.mHeaderLines(
    request, mReport.mInstance, run.mEpoch, left);
  upstream.mBody = request.body;
  upstream.mTimeout = left + kTimeoutSlack;
  upstream.mMaxIdle = request.idempotent ? kMaxIdle : kMaxIdleNotIdempotent;
  upstream.mMaxBodyBytes = mOptions.mMaxBodyBytes;
  upstream.mEchoHeader = mOptions.mProtocol.mEchoHeader;
  upstream.mEchoValue = request.request_id;
  upstream.mTakesUnframed = mOptions.mProtocol.mTakesUnframed;
  run.mExchange = mExchanges.start(
    upstream,
    [this, id] { return maySend(id); },
    [this, id](ExchangeEnd aEnd, CURLcode aCode, UpstreamResponse aResponse) {
      onRunEnd(id, aEnd, aCode, std::move(aResponse));
    });
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
  const bool inTime = now < run.mEndBy;
  run.mHeldBack = !served || !inTime || isHeldBack(request.shard) ||
                  !holdsKey(request, run.mEpoch) || isClosed(now);
  run.mServeUntil = decision.mServeUntil;
  run.mSent = !run.mHeldBack;
  run.mSentAt = now;
  run.mInFlight = busy();
  return run.mSent;
}

void
Gate::Impl::onRunEnd(RunId aId,
                     ExchangeEnd aEnd,
                     CURLcode aCode,
                     UpstreamResponse aResponse)
{
  auto node = mRuns.extract(aId);
  Run& run = node.mapped();
  switch (aEnd) {
    case ExchangeEnd::Whole:
      onWhole(std::move(run), std::move(aResponse));
      break;
    case ExchangeEnd::NotSent:
    case ExchangeEnd::Refused:
      onNotSent(std::move(run), aEnd);
      break;
    case ExchangeEnd::Lost:
      onLost(std::move(run), aCode);
      break;
  }
}

void
Gate::Impl::onWhole(Run aRun, UpstreamResponse aResponse)
{
  const Millis now = mHooks.mNow();
  const UpstreamProtocol& protocol = mOptions.mProtocol;
  if (protocol.mReports) {
    noteResponse(aResponse);
  } else {
    onHealthChange(
      mHealth.onAnswer(aResponse.header(protocol.mInstanceHeader)));
  }
  QueuedRequest& queued = aRun.mQueued;
  const NotRunReason reason = protocol.mProvenNotRun(aResponse);
  if (reason == NotRunReason::Shed) {
    mMetrics.count("radishroad_gate_shed_total");
    mWindow.onShed(now);
  }
  const bool again = reason == NotRunReason::Shed && !protocol.mReports &&
                     queued.mSheds < kMaxSheds && mRetries.tryRetry(now);
  if (again) {
    ++queued.mSheds;
    queued.mNotBefore = now + kShedPause;
    mQueue.pushFront(std::move(queued));
    return;
  }
  const bool misdirected =
    reason == NotRunReason::NotOwner && protocol.mReports;
  if (misdirected && isAnotherUpstream(aResponse)) {
    onHealthChange(mHealth.onRefused());
    refuse(queued, NotRunReason::UpstreamDown);
    return;
  }
  if (misdirected && queued.mSheds < kMaxSheds &&
      queued.mRequest.shard < kShardCount) {
    // A grant has run out, or a new start of the upstream has not reported.
    mGrants.onNotHeld(queued.mRequest.key_hash, now);
    ++queued.mSheds;
    queued.mNotBefore = now + kGrantWait;
    mQueue.pushFront(std::move(queued));
    return;
  }
  if (reason != NotRunReason::None) {
    refuse(queued, reason);
    return;
  }
  if (!protocol.mIsGenuine(aResponse)) {
    mMetrics.count("radishroad_gate_spoilt_answers_total");
    answer(queued, makeUnknown(idOf(queued.mRequest)));
    return;
  }
  const Millis took = now - aRun.mSentAt;
  mWindow.onAnswer(took, aRun.mInFlight, now);
  mRunTimes.addRun(queued.mRequest.kind, took, slowness(now));
  if (protocol.mReports) {
    // It goes on: only connections had been cut.
    std::erase_if(mSuspects, [&aRun](const CrashSuspect& aSuspect) {
      return aSuspect.mAt < aRun.mSentAt;
    });
  }
  mAnswered.add(queued.mFingerprint, now);
  mQueue.charge(queued.mRequest.workspace, took);
  if (queued.mRequest.shard < kShardCount && protocol.mReports) {
    mLoad.addBusy(queued.mRequest.shard, took);
  } else if (queued.mRequest.shard < kShardCount) {
    mLoad.add(queued.mRequest.shard, queued.mRequest.key_hash, took, now);
  }
  mMetrics.observe("radishroad_gate_run_seconds", took);
  answer(queued, makeAnswered(queued.mRequest, std::move(aResponse)));
}

void
Gate::Impl::onNotSent(Run aRun, ExchangeEnd aEnd)
{
  const Millis now = mHooks.mNow();
  QueuedRequest& queued = aRun.mQueued;
  if (!aRun.mHeldBack) {
    mMetrics.count("radishroad_gate_connect_failures_total");
    if (aEnd == ExchangeEnd::Refused) {
      onHealthChange(mHealth.onRefused());
    }
    mHealth.probeSoon(now);
    queued.mNotBefore = now + kReconnectPause;
  }
  // Proven not run, so it may wait for another try until its deadline.
  mQueue.pushFront(std::move(queued));
}

void
Gate::Impl::onLost(Run aRun, CURLcode aCode)
{
  const Millis now = mHooks.mNow();
  // libcurl answers the loss of a reused connection with a new one: to a
  // process that has just died, that one is refused.
  const bool cut = aCode == CURLE_COULDNT_CONNECT ||
                   aCode == CURLE_RECV_ERROR || aCode == CURLE_SEND_ERROR ||
                   aCode == CURLE_GOT_NOTHING || aCode == CURLE_PARTIAL_FILE ||
                   aCode == CURLE_ABORTED_BY_CALLBACK;
  if (cut) {
    suspectCrash(aRun);
  }
  // Only the connection may have gone while the request runs on.
  trackGivenUp(aRun, now);
  answer(aRun.mQueued, makeUnknown(idOf(aRun.mQueued.mRequest)));
}

void
Gate::Impl::giveUp(RunId aId, NotRunReason aReason)
{
  auto node = mRuns.extract(aId);
  if (node.empty()) {
    return;
  }
  Run& run = node.mapped();
  if (!mExchanges.abort(run.mExchange)) {
    if (aReason == NotRunReason::LeaseLapsed) {
      // Not run, so it is decided anew.
      mQueue.pushFront(std::move(run.mQueued));
      return;
    }
    refuse(run.mQueued, aReason);
    return;
  }
  const Millis now = mHooks.mNow();
  if (aReason == NotRunReason::DeadlinePassed) {
    mWindow.onTimeout(now - run.mSentAt, now);
  }
  trackGivenUp(run, now);
  Answer unknown = makeUnknown(idOf(run.mQueued.mRequest));
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
  Answer refusal = makeNotRun(idOf(aQueued.mRequest), aReason, aRetryAfter);
  refusal.epoch = aEpoch;
  answer(aQueued, std::move(refusal));
}

void
Gate::Impl::answer(QueuedRequest& aQueued, Answer aAnswer)
{
  mQueuedCount.fetch_sub(1);
  mMetrics.count(std::string("radishroad_gate_answers_total{kind=\"") +
                 wire::EnumNameAnswerKind(aAnswer.kind) + "\"}");
  if (mHooks.mOnAnswer) {
    mHooks.mOnAnswer(aQueued, aAnswer, currentPace(mHooks.mNow()));
  }
  const std::vector<DeduplicationCache::Waiter> waiters =
    mDuplicates.finish(aQueued.mMemoryKey, aAnswer, mHooks.mNow());
  for (const DeduplicationCache::Waiter& waiter : waiters) {
    waiter.mAnswer(withId(aAnswer, waiter.mId));
  }
  aQueued.mAnswer(std::move(aAnswer));
}

}

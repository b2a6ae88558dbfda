#include "gate_impl.h"

#include "radishroad/policy/queue_plan.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A reported slowness is used for this time only, since slow phases are short.
constexpr Millis kSlownessMaxAge{ 400 };
/// Retry-after for callers whose key or upstream is not available now.
constexpr Millis kUnservedRetryAfter{ 200 };

}

double
Gate::Impl::slowness(Millis aNow) const
{
  return aNow - mSlownessAt < kSlownessMaxAge ? mSlowness : 1;
}

UpstreamStats
Gate::Impl::currentStats(Millis aNow)
{
  UpstreamStats stats;
  stats.mSlots = slotLimit();
  stats.mReportedSlots = mSlots;
  stats.mSustainedSlots = isAdaptive() ? mAdaptive.sustained() : 0;
  stats.mRunning = occupiedSlots();
  stats.mRunMs = mRunTimes.meanMs();
  stats.mTypicalMs = mRunTimes.typicalMs();
  stats.mSlowness = slowness(aNow);
  stats.mColdPerSecond =
    mColdStartLimiter.isCold(aNow) ? mService.mColdPerSecond : 0;
  stats.mLimitPerSecond = mNamedLimit.perSecond();
  stats.mLargeWait = mLink.largeWait(aNow);
  return stats;
}

QueueEntry
Gate::Impl::makeQueueEntry(const QueuedRequest& aQueued) const
{
  const ForwardRequest& request = aQueued.mRequest;
  QueueEntry entry;
  entry.mDeadline = aQueued.mDeadline;
  entry.mObjectiveAt = request.objective_ms > 0
                         ? aQueued.mQueuedAt + Millis{ request.objective_ms }
                         : aQueued.mDeadline;
  entry.mQueuedAt = aQueued.mQueuedAt;
  entry.mPriorityRank = request.rank;
  entry.mRunMs = expectedRunMs(request.kind) * slowness(mHooks.mNow());
  return entry;
}

void
Gate::Impl::dispatchByObjective(Millis aNow)
{
  if (!mHealth.healthy()) {
    return;
  }
  // Also without queued requests, so that none count as held any more.
  planLargeResponses(aNow);
  if (mQueue.empty()) {
    return;
  }
  // Requests that the link holds back get no verdict on slots.
  std::vector<const QueuedRequest*> queue = mQueue.list();
  std::erase_if(queue, [this](const QueuedRequest* aQueued) {
    return mHeldForLink.contains(aQueued->mQueueId);
  });
  std::vector<QueueEntry> waiting;
  std::vector<std::uint64_t> queueIds;
  for (const QueuedRequest* queued : queue) {
    waiting.push_back(makeQueueEntry(*queued));
    queueIds.push_back(queued->mQueueId);
  }
  const std::vector<RoomVerdict> verdicts = decideRoom(queue, aNow);
  const QueuePlan plan = planQueue(waiting, currentStats(aNow), aNow, verdicts);
  for (const QueuePlan::Refusal& refusal : plan.mRefused) {
    std::optional<QueuedRequest> queued = mQueue.take(queueIds[refusal.mIndex]);
    if (!verdicts.empty()) {
      logRoomRefusal(*queued, refusal.mRetryAfter, aNow);
    }
    refuse(*queued, NotRunReason::QueueFull, 0, refusal.mRetryAfter);
  }
  for (const std::size_t index : plan.mOrder) {
    if (!mayStart(aNow) || !mColdStartLimiter.maySend(aNow)) {
      return;
    }
    std::optional<QueuedRequest> queued = mQueue.take(queueIds[index]);
    const bool isEligible = aNow >= queued->mNotBefore &&
                            !isShardPaused(queued->mRequest.shard) &&
                            !isAbandoned(idOf(queued->mRequest));
    if (isEligible) {
      const RoomRequest room = makeRoomRequest(*queued);
      const std::size_t running = mRuns.size();
      tryStartRun(std::move(*queued), aNow);
      if (!verdicts.empty() && mRuns.size() > running) {
        mRoom.onStarted(room, aNow);
      }
    } else {
      mQueue.pushFront(std::move(*queued));
    }
  }
}

void
Gate::Impl::refuseUnservable(Millis aNow)
{
  const bool down = !mHealth.healthy();
  const bool drainOver = isDrainOver(aNow);
  struct Verdict
  {
    NotRunReason mReason = NotRunReason::None;
    Millis mRetryAfter = kUnservedRetryAfter;
  };
  const auto evaluate = [&](const QueuedRequest& aQueued) -> Verdict {
    if (down) {
      return { NotRunReason::UpstreamDown };
    }
    if (drainOver) {
      return { NotRunReason::Draining };
    }
    const ServeDecision decision = mHooks.mMayServe(aQueued.mRequest);
    const auto paused = mPaused.find(aQueued.mRequest.shard);
    const bool isPaused =
      paused != mPaused.end() && isShardPaused(aQueued.mRequest.shard);
    const Millis keyWaitUntil = keyWaitDeadline(
      aQueued.mQueuedAt,
      aQueued.mKeyWaitUntil,
      isPaused ? std::optional<Millis>(paused->second) : std::nullopt);
    const bool cannotBeServedInTime =
      decision.mRefusal == NotRunReason::LeaseLapsed &&
      decision.mRetryAt > keyWaitUntil;
    if (cannotBeServedInTime) {
      const Millis retryAfter = retryAfterOutage(decision.mRetryAt - aNow,
                                                 aQueued.mRequest.rank,
                                                 aQueued.mRequest.id_low);
      return { decision.mRefusal, std::max(retryAfter, kUnservedRetryAfter) };
    }
    if (aNow < keyWaitUntil) {
      return {};
    }
    if (decision.mRefusal != NotRunReason::None) {
      return { decision.mRefusal };
    }
    const bool served =
      !isPaused && holdsKey(aQueued.mRequest, decision.mEpoch);
    return { served ? NotRunReason::None : NotRunReason::LeaseLapsed };
  };
  std::vector<Verdict> verdicts;
  std::vector<QueuedRequest> unservable =
    mQueue.removeIf([&](const QueuedRequest& aQueued) {
      const Verdict verdict = evaluate(aQueued);
      if (verdict.mReason != NotRunReason::None) {
        verdicts.push_back(verdict);
      }
      return verdict.mReason != NotRunReason::None;
    });
  for (std::size_t n = 0; n < unservable.size(); ++n) {
    refuse(unservable[n], verdicts[n].mReason, 0, verdicts[n].mRetryAfter);
  }
}

}

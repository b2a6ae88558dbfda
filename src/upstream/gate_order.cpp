#include "gate_impl.h"

#include "radishroad/policy/queue_plan.h"

#include <algorithm>

namespace radishroad {

namespace {

/// What a response told of the machine's slowness holds for so long: slow
/// moments are short.
constexpr Millis kSlownessAge{ 400 };
/// What is asked of callers whose key or upstream cannot be served just now.
constexpr Millis kUnservedRetryAfter{ 200 };

}

double
Gate::Impl::slowness(Millis aNow) const
{
  return aNow - mSlownessAt < kSlownessAge ? mSlowness : 1;
}

UpstreamStats
Gate::Impl::currentPace(Millis aNow)
{
  UpstreamStats pace;
  pace.mSlots = mSlots;
  pace.mRunning = busy();
  pace.mRunMs = mRunTimes.meanMs();
  pace.mTypicalMs = mRunTimes.typicalMs();
  pace.mSlowness = slowness(aNow);
  pace.mColdPerSecond = mCold.isCold(aNow) ? mService.mColdPerSecond : 0;
  return pace;
}

QueueEntry
Gate::Impl::describeWaiting(const QueuedRequest& aQueued) const
{
  const ForwardRequest& request = aQueued.mRequest;
  QueueEntry work;
  work.mDeadline = aQueued.mDeadline;
  work.mObjectiveAt = request.objective_ms > 0
                        ? aQueued.mQueuedAt + Millis{ request.objective_ms }
                        : aQueued.mDeadline;
  work.mQueuedAt = aQueued.mQueuedAt;
  work.mRank = request.rank;
  work.mRunMs = mRunTimes.typicalMs(request.kind) * slowness(mHooks.mNow());
  return work;
}

void
Gate::Impl::dispatchByObjective(Millis aNow)
{
  if (mQueue.empty() || !mHealth.healthy()) {
    return;
  }
  std::vector<QueueEntry> waiting;
  std::vector<std::uint64_t> tickets;
  for (const QueuedRequest* queued : mQueue.list()) {
    waiting.push_back(describeWaiting(*queued));
    tickets.push_back(queued->mTicket);
  }
  const QueuePlan plan = planQueue(waiting, currentPace(aNow), aNow);
  for (const QueuePlan::Refusal& refusal : plan.mRefused) {
    std::optional<QueuedRequest> queued = mQueue.take(tickets[refusal.mIndex]);
    refuse(*queued, NotRunReason::QueueFull, 0, refusal.mRetryAfter);
  }
  for (const std::size_t index : plan.mOrder) {
    if (!mayStart(aNow) || !mCold.maySend(aNow)) {
      return;
    }
    std::optional<QueuedRequest> queued = mQueue.take(tickets[index]);
    const bool mayGo = aNow >= queued->mNotBefore &&
                       !isHeldBack(queued->mRequest.shard) &&
                       !isGivenUp(idOf(queued->mRequest));
    if (mayGo) {
      decide(std::move(*queued), aNow);
    } else {
      mQueue.pushFront(std::move(*queued));
    }
  }
}

void
Gate::Impl::refuseUnserved(Millis aNow)
{
  const bool down = !mHealth.healthy();
  const bool closed = isClosed(aNow);
  struct Verdict
  {
    NotRunReason mReason = NotRunReason::None;
    Millis mRetryAfter = kUnservedRetryAfter;
  };
  const auto judge = [&](const QueuedRequest& aQueued) -> Verdict {
    if (down) {
      return { NotRunReason::UpstreamDown };
    }
    if (closed) {
      return { NotRunReason::Draining };
    }
    const ServeDecision decision = mHooks.mMayServe(aQueued.mRequest);
    const auto paused = mPaused.find(aQueued.mRequest.shard);
    const bool isPaused =
      paused != mPaused.end() && isHeldBack(aQueued.mRequest.shard);
    const Millis holdUntil = keyWaitDeadline(
      aQueued.mQueuedAt,
      aQueued.mHoldUntil,
      isPaused ? std::optional<Millis>(paused->second) : std::nullopt);
    const bool heldInVain = decision.mRefusal == NotRunReason::LeaseLapsed &&
                            decision.mRetryAt > holdUntil;
    if (heldInVain) {
      const Millis pause = retryAfterOutage(decision.mRetryAt - aNow,
                                            aQueued.mRequest.rank,
                                            aQueued.mRequest.id_low);
      return { decision.mRefusal, std::max(pause, kUnservedRetryAfter) };
    }
    if (aNow < holdUntil) {
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
  std::vector<QueuedRequest> unserved =
    mQueue.removeIf([&](const QueuedRequest& aQueued) {
      const Verdict verdict = judge(aQueued);
      if (verdict.mReason != NotRunReason::None) {
        verdicts.push_back(verdict);
      }
      return verdict.mReason != NotRunReason::None;
    });
  for (std::size_t n = 0; n < unserved.size(); ++n) {
    refuse(unserved[n], verdicts[n].mReason, 0, verdicts[n].mRetryAfter);
  }
}

}

#include "gate_impl.h"

#include "radishroad/base/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr Millis kCancelTimeout{ 300 };
constexpr Millis kCancelInterval{ 20 };
/// Within this time an upstream notices that a connection was closed.
constexpr Millis kCloseDetectionTime{ 60 };
/// The upstream starts to count the deadline when it has read the request.
constexpr Millis kDeadlineGrace{ 50 };
constexpr Millis kMaxIdle{ 30000 };
constexpr std::size_t kMaxCancelResponseBytes = 4096;

bool
reportsRunEnded(const UpstreamResponse& aAnswer)
{
  const Result<nlohmann::json> body =
    parseJson({ reinterpret_cast<const char*>(aAnswer.mBody.data()),
                aAnswer.mBody.size() });
  if (!body || !body->is_object()) {
    return false;
  }
  const auto state = body->find("state");
  return state != body->end() &&
         (*state == "cancelled" || *state == "finished");
}

}

void
Gate::Impl::cancelRequest(RandomId aId)
{
  const auto isCancelled = [this, aId](const QueuedRequest& aQueued) {
    // A request is not cancelled while duplicates of it wait for its answer.
    return idOf(aQueued.mRequest) == aId &&
           !mDeduplicationCache.hasWaiters(aQueued.mDeduplicationKey);
  };
  std::vector<QueuedRequest> queued = mQueue.removeIf(isCancelled);
  for (QueuedRequest& request : queued) {
    refuse(request, NotRunReason::Cancelled);
  }
  std::vector<RunId> running;
  for (const auto& [id, run] : mRuns) {
    if (isCancelled(run.mQueued)) {
      running.push_back(id);
    }
  }
  for (const RunId id : running) {
    abandon(id, NotRunReason::Cancelled);
  }
}

bool
Gate::Impl::isAbandoned(RandomId aId) const
{
  return std::ranges::any_of(
    mAbandoned, [aId](const auto& aEntry) { return aEntry.second.mId == aId; });
}

void
Gate::Impl::trackAbandoned(const Run& aRun, Millis aNow)
{
  AbandonedRun abandoned;
  abandoned.mId = idOf(aRun.mQueued.mRequest);
  abandoned.mShard = aRun.mQueued.mRequest.shard;
  abandoned.mDeadline = aRun.mEndTime + kDeadlineGrace;
  abandoned.mNextCancel = aNow;
  abandoned.mIdempotent = aRun.mQueued.mRequest.idempotent;
  mAbandoned[mNextRun++] = abandoned;
}

void
Gate::Impl::sendCancels(Millis aNow)
{
  if (mHealth.lost()) {
    // The process has ended, so none of its runs continues.
    clearAbandoned();
    return;
  }
  if (mOptions.mProtocol.mCancelsByDisconnect) {
    std::erase_if(mAbandoned, [aNow](const auto& aEntry) {
      return aNow >= aEntry.second.mNextCancel + kCloseDetectionTime;
    });
    return;
  }
  for (auto& [id, abandoned] : mAbandoned) {
    if (abandoned.mCancelInFlight || aNow < abandoned.mNextCancel) {
      continue;
    }
    abandoned.mCancelInFlight = true;
    abandoned.mNextCancel = aNow + kCancelInterval;
    UpstreamRequest cancel;
    cancel.mUpstream = mOptions.mUpstream;
    cancel.mPurpose = "cancel";
    cancel.mMethod = "DELETE";
    cancel.mTarget = "/requests/" + abandoned.mId.toString();
    cancel.mTimeout = kCancelTimeout;
    cancel.mMaxIdle = kMaxIdle;
    cancel.mMaxBodyBytes = kMaxCancelResponseBytes;
    mExchanges.start(
      cancel,
      [] { return true; },
      [this, id = id](
        ExchangeOutcome aOutcome, CURLcode, const UpstreamResponse& aAnswer) {
        onCancelEnd(id, aOutcome, aAnswer);
      });
  }
}

void
Gate::Impl::onCancelEnd(RunId aId,
                        ExchangeOutcome aOutcome,
                        const UpstreamResponse& aAnswer)
{
  const auto it = mAbandoned.find(aId);
  if (it == mAbandoned.end()) {
    return;
  }
  it->second.mCancelInFlight = false;
  const bool answered = aOutcome == ExchangeOutcome::Complete;
  const bool pastDeadline = mHooks.mNow() >= it->second.mDeadline;
  // The state "unknown" may mean that the request has not reached the upstream
  // yet, so it ends the tracking only after the deadline. From then on the
  // upstream does not start the request, and ends it if it runs, even if the
  // process was suspended meanwhile: the deadline was sent as a point in time.
  if (pastDeadline || (answered && reportsRunEnded(aAnswer))) {
    mAbandoned.erase(it);
  }
}

void
Gate::Impl::clearAbandoned()
{
  mAbandoned.clear();
}

}

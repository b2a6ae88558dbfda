#include "gate_impl.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr Millis kCancelTimeout{ 300 };
constexpr Millis kCancelInterval{ 20 };
/// An upstream notices the end of a connection within this time.
constexpr Millis kCloseTime{ 60 };
/// The upstream counts a deadline from when it has read the request.
constexpr Millis kDeadlineGrace{ 50 };
constexpr Millis kMaxIdle{ 30000 };
constexpr std::size_t kMaxCancelAnswer = 4096;

/// True if the upstream states that the run is over.
bool
saysOver(const UpstreamResponse& aAnswer)
{
  const nlohmann::json body = nlohmann::json::parse(
    aAnswer.mBody.begin(), aAnswer.mBody.end(), nullptr, false);
  if (!body.is_object()) {
    return false;
  }
  const auto state = body.find("state");
  return state != body.end() && (*state == "cancelled" || *state == "finished");
}

}

void
Gate::Impl::cancelRequest(RandomId aId)
{
  const auto isMeant = [this, aId](const QueuedRequest& aQueued) {
    // Copies of other callers wait for the same run.
    return idOf(aQueued.mRequest) == aId &&
           !mDuplicates.hasWaiters(aQueued.mMemoryKey);
  };
  std::vector<QueuedRequest> queued = mQueue.removeIf(isMeant);
  for (QueuedRequest& request : queued) {
    refuse(request, NotRunReason::Cancelled);
  }
  std::vector<RunId> running;
  for (const auto& [id, run] : mRuns) {
    if (isMeant(run.mQueued)) {
      running.push_back(id);
    }
  }
  for (const RunId id : running) {
    giveUp(id, NotRunReason::Cancelled);
  }
}

bool
Gate::Impl::isGivenUp(RandomId aId) const
{
  return std::ranges::any_of(
    mGivenUp, [aId](const auto& aEntry) { return aEntry.second.mId == aId; });
}

void
Gate::Impl::trackGivenUp(const Run& aRun, Millis aNow)
{
  GivenUpRun given;
  given.mId = idOf(aRun.mQueued.mRequest);
  given.mShard = aRun.mQueued.mRequest.shard;
  given.mDeadline = aRun.mEndBy + kDeadlineGrace;
  given.mNextCancel = aNow;
  given.mIdempotent = aRun.mQueued.mRequest.idempotent;
  mGivenUp[mNextRun++] = given;
}

void
Gate::Impl::sendCancels(Millis aNow)
{
  if (mHealth.lost()) {
    // The process is gone, and with it whatever it ran.
    forgetGivenUp();
    return;
  }
  if (mOptions.mProtocol.mClosingCancels) {
    std::erase_if(mGivenUp, [aNow](const auto& aEntry) {
      return aNow >= aEntry.second.mNextCancel + kCloseTime;
    });
    return;
  }
  for (auto& [id, given] : mGivenUp) {
    if (given.mCancelUnderWay || aNow < given.mNextCancel) {
      continue;
    }
    given.mCancelUnderWay = true;
    given.mNextCancel = aNow + kCancelInterval;
    UpstreamRequest cancel;
    cancel.mUpstream = mOptions.mUpstream;
    cancel.mMethod = "DELETE";
    cancel.mTarget = "/requests/" + given.mId.toString();
    cancel.mTimeout = kCancelTimeout;
    cancel.mMaxIdle = kMaxIdle;
    cancel.mMaxBodyBytes = kMaxCancelAnswer;
    mExchanges.start(
      cancel,
      [] { return true; },
      [this,
       id = id](ExchangeEnd aEnd, CURLcode, const UpstreamResponse& aAnswer) {
        onCancelEnd(id, aEnd, aAnswer);
      });
  }
}

void
Gate::Impl::onCancelEnd(RunId aId,
                        ExchangeEnd aEnd,
                        const UpstreamResponse& aAnswer)
{
  const auto it = mGivenUp.find(aId);
  if (it == mGivenUp.end()) {
    return;
  }
  it->second.mCancelUnderWay = false;
  const bool answered = aEnd == ExchangeEnd::Whole;
  const bool pastDeadline = mHooks.mNow() >= it->second.mDeadline;
  // "unknown" may mean that the request is still on its way, so it counts
  // only after the deadline. From then on the upstream starts nothing and ends
  // what runs, even if it was frozen meanwhile: the deadline went with the
  // request as a point in time.
  if (pastDeadline || (answered && saysOver(aAnswer))) {
    mGivenUp.erase(it);
  }
}

void
Gate::Impl::forgetGivenUp()
{
  mGivenUp.clear();
}

}

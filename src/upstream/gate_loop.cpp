#include "gate_impl.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Longest sleep of the gate's thread; bounds how late a change of ownership
/// is noticed by waiting requests.
constexpr Millis kMaxSleep{ 50 };
/// The same with nothing waiting: it is woken for what comes.
constexpr Millis kMaxIdleSleep{ 1000 };
/// How often the ages of requests in flight are looked at.
constexpr Millis kPendingCheck{ 10 };
constexpr Millis kGaugeInterval{ 100 };
/// How often the shards to be held are looked up.
constexpr Millis kHoldingsCheck{ 50 };
/// Retries of shed requests for each request.
constexpr double kRetryRatio = 0.1;
/// What may be handed over at once, in lengths of the queue.
constexpr std::size_t kInboxFactor = 2;

}

Gate::Impl::Impl(Options aOptions, Hooks aHooks, Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mMetrics(aMetrics)
  , mWindow(mService.mMaxInFlight)
  , mRetries(kRetryRatio)
  , mSubmitted(mOptions.mMaxQueued * kInboxFactor)
{
  if (mOptions.mProtocol.mReports) {
    mHealth.stopProbes();
  }
}

void
Gate::Impl::loop()
{
  while (!finished()) {
    const Millis now = mHooks.mNow();
    takeInbox();
    // Before any traffic: the thread may have been stopped for long.
    checkRuns(now);
    watchPending(now);
    expireQueued(now);
    sendCancels(now);
    watchReports(now);
    probe(now);
    sendGrants(now);
    dispatch(now);
    mExchanges.perform();
    notePaidConnections(mHooks.mNow());
    // Freed slots are taken before sleeping.
    dispatch(mHooks.mNow());
    finishDrains();
    publishLoad();
    mExchanges.poll(nextWake(mHooks.mNow()));
  }
  publishLoad();
}

void
Gate::Impl::takeSubmitted()
{
  while (std::optional<QueuedRequest> queued = mSubmitted.pop(Millis{ 0 })) {
    // One that was set before this was submitted holds for it.
    applyConfiguration();
    queued->mTicket = mNextTicket++;
    const ForwardRequest& request = queued->mRequest;
    if (mOptions.mProtocol.mReports && request.shard < kShardCount) {
      // Those refused for lack of room count as well.
      mLoad.addOffered(request.shard, request.key_hash, mHooks.mNow());
    }
    if (admit(*queued)) {
      mQueue.pushBack(std::move(*queued));
    }
  }
  // The longest line gives way, so that one workspace cannot fill the queue.
  while (mQueue.size() > mOptions.mMaxQueued) {
    std::optional<QueuedRequest> dropped = mQueue.dropFromLongest();
    refuse(*dropped, NotRunReason::QueueFull);
  }
}

void
Gate::Impl::applyConfiguration()
{
  if (!mConfigured.exchange(false)) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    mService = mNewService;
  }
  if (!mOptions.mProtocol.mReports) {
    mHealth.setProbeCost(mService.mProbeCost);
  }
  mCold.setRate(mService.mColdPerSecond);
  mGrants.setHoldTime(mService.mHoldTime);
  mGrants.setByReport(mService.mGrantsByReport);
  if (!mGrantsBegun && grantsKeys()) {
    mGrantsBegun = true;
    // An earlier process at this VM may have granted until just now.
    mGrants.assumeHeld(mHooks.mNow());
  }
  mWindow.setMax(mService.mMaxInFlight);
  mPacer.setCost(mService.mConnectionCost);
}

bool
Gate::Impl::admit(QueuedRequest& aQueued)
{
  using Verdict = DeduplicationCache::Verdict;
  // Nothing runs for longer than the service allows: the next owner of a shard
  // counts on that.
  const Millis longest = aQueued.mQueuedAt + mService.mDeadline;
  aQueued.mDeadline = std::min(aQueued.mDeadline, longest);
  DeduplicationCache::Admission admission = mDuplicates.admit(
    aQueued.mRequest, aQueued.mFingerprint, aQueued.mAnswer, mHooks.mNow());
  switch (admission.mVerdict) {
    case Verdict::Run:
      aQueued.mMemoryKey = std::move(admission.mKey);
      mRetries.onRequest();
      mWindow.onOffered(aQueued.mRequest.idempotent);
      return true;
    case Verdict::Joined:
      mMetrics.count("radishroad_gate_copies_joined_total");
      mQueuedCount.fetch_sub(1);
      return false;
    case Verdict::Replay:
      mMetrics.count("radishroad_gate_copies_replayed_total");
      answer(aQueued, std::move(admission.mAnswer));
      return false;
    case Verdict::Mismatch:
      refuse(aQueued, NotRunReason::Malformed);
      return false;
  }
  return true;
}

void
Gate::Impl::post(std::function<void()> aTask)
{
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    mTasks.push_back(std::move(aTask));
  }
  mExchanges.wake();
}

void
Gate::Impl::takeInbox()
{
  // Tasks first: one that cancels a request was posted after the request.
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    tasks.swap(mTasks);
  }
  applyConfiguration();
  takeSubmitted();
  for (const std::function<void()>& task : tasks) {
    task();
  }
}

void
Gate::Impl::checkRuns(Millis aNow)
{
  std::vector<RunId> expired;
  std::vector<RunId> refused;
  for (auto& [id, run] : mRuns) {
    if (aNow >= run.mEndBy) {
      expired.push_back(id);
      continue;
    }
    if (aNow < run.mServeUntil) {
      continue;
    }
    const ServeDecision decision = mHooks.mMayServe(run.mQueued.mRequest);
    const bool served =
      decision.mRefusal == NotRunReason::None && decision.mEpoch == run.mEpoch;
    if (served) {
      run.mServeUntil = decision.mServeUntil;
    } else {
      refused.push_back(id);
    }
  }
  for (const RunId id : expired) {
    giveUp(id, NotRunReason::DeadlinePassed);
  }
  for (const RunId id : refused) {
    giveUp(id, NotRunReason::LeaseLapsed);
  }
}

void
Gate::Impl::expireQueued(Millis aNow)
{
  const bool down = !mHealth.healthy();
  std::vector<QueuedRequest> late =
    mQueue.removeIf([this, aNow](const QueuedRequest& aQueued) {
      return aNow >= lastSend(aQueued);
    });
  for (QueuedRequest& queued : late) {
    refuse(queued,
           down ? NotRunReason::UpstreamDown : NotRunReason::DeadlinePassed);
  }
  if (mOptions.mProtocol.mReports) {
    refuseUnserved(aNow);
  } else if (down) {
    refuseMoved();
  }
}

Millis
Gate::Impl::lastSend(const QueuedRequest& aQueued) const
{
  if (mOptions.mUnguarded) {
    return aQueued.mDeadline;
  }
  // A request that came with little time is still tried once.
  const Millis given = aQueued.mDeadline - aQueued.mQueuedAt;
  const Millis need = std::min(mWindow.expectedTime(), given / 2);
  return aQueued.mDeadline - need;
}

void
Gate::Impl::refuseMoved()
{
  // Nothing is dispatched while the upstream is down, so requests whose shard
  // has gone elsewhere learn it here.
  std::vector<ServeDecision> decisions;
  std::vector<QueuedRequest> moved =
    mQueue.removeIf([this, &decisions](const QueuedRequest& aQueued) {
      const ServeDecision decision = mHooks.mMayServe(aQueued.mRequest);
      const bool stays = decision.mRefusal == NotRunReason::None ||
                         decision.mRefusal == NotRunReason::LeaseLapsed;
      if (!stays) {
        decisions.push_back(decision);
      }
      return !stays;
    });
  for (std::size_t i = 0; i < moved.size(); ++i) {
    refuse(moved[i], decisions[i].mRefusal, decisions[i].mEpoch);
  }
}

void
Gate::Impl::refuseSubmitted()
{
  takeSubmitted();
  std::vector<QueuedRequest> left =
    mQueue.removeIf([](const QueuedRequest&) { return true; });
  for (QueuedRequest& queued : left) {
    refuse(queued, NotRunReason::Draining);
  }
}

void
Gate::Impl::finishDrains()
{
  std::set<Shard> busy;
  for (const auto& [id, run] : mRuns) {
    busy.insert(run.mQueued.mRequest.shard);
  }
  for (const auto& [id, run] : mGivenUp) {
    busy.insert(run.mShard);
  }
  std::vector<Drain> waiting;
  std::vector<Drain> done;
  for (Drain& drain : mDrains) {
    const Millis now = mHooks.mNow();
    bool idle = true;
    for (const Shard shard : drain.mShards) {
      // Where reports tell of what still runs, the release begins at once.
      const bool mayRelease = grantsByReport() || !busy.contains(shard);
      idle =
        mayRelease && releaseShard(shard, now) && !busy.contains(shard) && idle;
    }
    (idle ? done : waiting).push_back(std::move(drain));
  }
  mDrains = std::move(waiting);
  for (const Drain& drain : done) {
    drain.mDone();
  }
}

Millis
Gate::Impl::nextWake(Millis aNow) const
{
  const Millis longest = mQueue.empty() ? kMaxIdleSleep : kMaxSleep;
  Millis next = mQueue.nextEvent(aNow, aNow + longest);
  for (const auto& [id, run] : mRuns) {
    next = std::min({ next, run.mServeUntil, run.mEndBy });
  }
  for (const auto& [id, run] : mGivenUp) {
    if (!run.mCancelUnderWay) {
      next = std::min(next, run.mNextCancel);
    }
  }
  if (!mQueue.empty() && busy() < mWindow.limit() && mHealth.healthy()) {
    // Waits for a connection, if for anything.
    next = std::min(next, std::max(aNow + Millis{ 1 }, mPacer.nextOpen()));
  }
  if (!mRuns.empty() && !mOptions.mProtocol.mReports) {
    next = std::min(next, aNow + kPendingCheck);
  }
  if (!mDrains.empty()) {
    next = std::min(next, aNow + kPendingCheck);
  }
  if (grantsKeys()) {
    next = std::min(next, mGrants.nextDue(aNow).value_or(next));
    next = std::min(next, aNow + kHoldingsCheck);
  }
  if (mOptions.mProtocol.mReports && !mQueue.empty()) {
    next = std::min(next, aNow + kPendingCheck);
  }
  if (!mProbing) {
    next = std::min(next, mHealth.nextProbe());
  }
  // A time that has passed was dealt with in this turn; no busy loop.
  return std::max(Millis{ 1 }, next - aNow);
}

bool
Gate::Impl::finished() const
{
  return mStopping && mQueuedCount == 0 && mRuns.empty() && mGivenUp.empty() &&
         mDrains.empty();
}

void
Gate::Impl::publishLoad()
{
  const std::uint32_t n = busy();
  mInFlight = n;
  mHealthyNow = mHealth.healthy();
  // An upstream that reports bounds what moves to it by its capacity.
  mWindowNow = mOptions.mProtocol.mReports ? 0 : mWindow.size();
  const Millis now = mHooks.mNow();
  if (mOptions.mProtocol.mReports) {
    const std::lock_guard<std::mutex> lock(mPaceMutex);
    mPaceNow = { currentPace(now), static_cast<std::uint32_t>(mQueue.size()) };
  }
  if (now - mGaugesAt < kGaugeInterval) {
    return;
  }
  mGaugesAt = now;
  mMetrics.gauge("radishroad_gate_in_flight", n);
  mMetrics.gauge("radishroad_gate_queued", mQueuedCount.load());
  mMetrics.gauge("radishroad_gate_window", mWindowNow);
  mMetrics.gauge("radishroad_gate_connections",
                 mExchanges.connections().open());
}

}

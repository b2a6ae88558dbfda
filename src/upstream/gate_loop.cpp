#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Longest sleep of the gate's thread; bounds how late queued requests notice a
/// change of ownership.
constexpr Millis kMaxSleep{ 50 };
/// Longest sleep with an empty queue: new requests wake the thread.
constexpr Millis kMaxIdleSleep{ 1000 };
/// How often the ages of running requests are checked.
constexpr Millis kPendingAgeCheckInterval{ 10 };
constexpr Millis kGaugeInterval{ 100 };
/// How often the readers of streamed bodies are checked.
constexpr Millis kStreamCheckInterval{ 100 };
constexpr double kMillisPerSecond = 1000;
/// How often the shards that the upstream should hold are looked up.
constexpr Millis kGrantableShardsCheckInterval{ 50 };
/// Retries of shed requests, as a fraction of all requests.
constexpr double kRetryRatio = 0.1;
/// Capacity for submitted requests that the thread has not taken yet, in
/// multiples of the maximum queue length.
constexpr std::size_t kSubmittedCapacityFactor = 2;

/// Part of the memory for bodies that answers to copies may take.
constexpr std::size_t kCachePart = 4;

std::size_t
maxCacheBytes(const BodyMemory* aMemory)
{
  return aMemory == nullptr ? DeduplicationCache::kMaxBytes
                            : std::min(aMemory->maxBytes() / kCachePart,
                                       DeduplicationCache::kMaxBytes);
}

}

Gate::Impl::Impl(Options aOptions, Hooks aHooks, Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mMetrics(aMetrics)
  , mWindow(mService.mMaxInFlight)
  , mRetryBudget(kRetryRatio)
  , mDeduplicationCache(maxCacheBytes(mOptions.mBodyMemory.get()))
  , mCacheShare(mOptions.mBodyMemory)
  , mLink(mOptions.mProtocol.mPushesReports ? mOptions.mLinkBytesPerSecond : 0)
  , mSubmitted(mOptions.mMaxQueued * kSubmittedCapacityFactor)
{
  if (mOptions.mProtocol.mPushesReports) {
    mHealth.disablePeriodicProbes();
  }
  mExchanges.setOnIncomplete(
    [this](std::string_view aPurpose, const ResponseTrace& aTrace) {
      recordIncomplete(aPurpose, aTrace);
    });
}

void
Gate::Impl::loop()
{
  while (!finished()) {
    const Millis now = mHooks.mNow();
    processInbox();
    if (mStopping && now >= mStopUntil.load()) {
      abandonAll();
      break;
    }
    // Before any I/O, since the thread may have been suspended for long.
    checkRuns(now);
    checkStreams(now);
    checkPendingAges(now);
    observeLink(now);
    refuseUnfinishable(now);
    expireQueued(now);
    sendCancels(now);
    checkReportAge(now);
    requestEndProbe(now);
    probe(now);
    sendGrants(now);
    dispatch(now);
    mExchanges.perform();
    recordOpenedConnections(mHooks.mNow());
    if (mGrantsAwaitConnection) {
      sendGrants(mHooks.mNow());
    }
    // Uses slots that perform() has freed before the thread sleeps.
    dispatch(mHooks.mNow());
    completePauses();
    publishLoad();
    recordLimitUse(mHooks.mNow());
    mExchanges.poll(nextWake(mHooks.mNow()));
  }
  publishLoad();
}

void
Gate::Impl::processSubmitted()
{
  while (std::optional<QueuedRequest> queued = mSubmitted.pop(Millis{ 0 })) {
    // A configuration that was set before this request was submitted applies to
    // it.
    applyConfiguration();
    queued->mQueueId = mNextQueueId++;
    const ForwardRequest& request = queued->mRequest;
    if (mOptions.mProtocol.mPushesReports && request.shard < kShardCount) {
      // Includes requests that are refused because the queue is full.
      mLoad.addOffered(request.shard, request.key_hash, mHooks.mNow());
    }
    if (admit(*queued)) {
      mQueue.pushBack(std::move(*queued));
    }
  }
  // Drops from the longest workspace queue, so that one workspace cannot fill
  // the whole queue.
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
  mIsConfigured = true;
  if (!mOptions.mProtocol.mPushesReports) {
    mHealth.setProbeCost(mService.mProbeCost);
  }
  mColdStartLimiter.setRate(mService.mColdPerSecond);
  mGrants.setHoldTime(mService.mHoldTime);
  mGrants.setGrantsInReportAnswers(mService.mGrantsByReport);
  if (!mGrantsStarted && grantsKeys()) {
    mGrantsStarted = true;
    // An earlier daemon process on this VM may have granted keys until now.
    mGrants.assumeHeld(mHooks.mNow());
  }
  mAdaptive.setSlots(mSlots);
  mWindow.setMax(mService.mMaxInFlight);
  mPacer.setCost(mService.mConnectionCost);
}

bool
Gate::Impl::admit(QueuedRequest& aQueued)
{
  using Verdict = DeduplicationCache::Verdict;
  // Nothing runs for longer than the service's deadline: the next owner of a
  // shard relies on that.
  const Millis longest = aQueued.mQueuedAt + mService.mDeadline;
  aQueued.mDeadline = std::min(aQueued.mDeadline, longest);
  DeduplicationCache::Admission admission = mDeduplicationCache.admit(
    aQueued.mRequest, aQueued.mFingerprint, aQueued.mAnswer, mHooks.mNow());
  switch (admission.mVerdict) {
    case Verdict::Run:
      aQueued.mDeduplicationKey = std::move(admission.mKey);
      mRetryBudget.onRequest();
      mWindow.onOffered(aQueued.mRequest.idempotent);
      return true;
    case Verdict::Joined:
      mMetrics.count("radishroad_gate_copies_joined_total");
      mQueuedCount.fetch_sub(1);
      return false;
    case Verdict::Replay:
      mMetrics.count("radishroad_gate_copies_replayed_total");
      mLink.onSent(admission.mAnswer.body.size(), mHooks.mNow());
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
Gate::Impl::processInbox()
{
  // Takes the tasks before the requests: a request that a task cancels was
  // submitted before the task, so it is queued when the task runs.
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard<std::mutex> lock(mTaskMutex);
    tasks.swap(mTasks);
  }
  applyConfiguration();
  processSubmitted();
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
    if (aNow >= run.mEndTime) {
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
    abandon(id, NotRunReason::DeadlinePassed);
  }
  for (const RunId id : refused) {
    abandon(id, NotRunReason::LeaseLapsed);
  }
}

void
Gate::Impl::expireQueued(Millis aNow)
{
  const bool down = !mHealth.healthy();
  std::vector<QueuedRequest> late =
    mQueue.removeIf([this, aNow](const QueuedRequest& aQueued) {
      return aNow >= std::min(latestSendTime(aQueued), aQueued.mWorkUntil);
    });
  for (QueuedRequest& queued : late) {
    refuse(queued,
           down ? NotRunReason::UpstreamDown : NotRunReason::DeadlinePassed);
  }
  if (mOptions.mProtocol.mPushesReports) {
    refuseUnservable(aNow);
  } else if (down) {
    refuseMoved();
  } else {
    refuseBeyondLimit(aNow);
  }
}

void
Gate::Impl::refuseBeyondLimit(Millis aNow)
{
  const double perSecond = mNamedLimit.perSecond();
  if (perSecond <= 0) {
    return;
  }
  const Millis interval{ static_cast<std::int64_t>(kMillisPerSecond /
                                                   perSecond) };
  Millis sendAt = mNamedLimit.nextSend(aNow);
  std::vector<QueuedRequest> beyond =
    mQueue.removeIf([&](const QueuedRequest& aQueued) {
      const bool isBeyond = sendAt >= latestSendTime(aQueued);
      sendAt += isBeyond ? Millis{} : interval;
      return isBeyond;
    });
  for (QueuedRequest& queued : beyond) {
    refuse(queued, NotRunReason::QueueFull, 0, interval);
  }
}

Millis
Gate::Impl::latestSendTime(const QueuedRequest& aQueued) const
{
  if (mOptions.mLimitsDisabled) {
    return aQueued.mDeadline;
  }
  // Requires at most half of the time that the request came with, so that one
  // with little time is still tried once.
  const Millis given = aQueued.mDeadline - aQueued.mQueuedAt;
  const Millis need = std::min(mWindow.expectedTime(), given / 2);
  return aQueued.mDeadline - need;
}

Millis
Gate::Impl::workUntil(const QueuedRequest& aQueued) const
{
  return mStop ? std::min(aQueued.mWorkUntil, mStop->mWorkUntil)
               : aQueued.mWorkUntil;
}

void
Gate::Impl::refuseUnfinishable(Millis aNow)
{
  if (!mStop) {
    return;
  }
  std::vector<QueuedRequest> unfinishable =
    mQueue.removeIf([this, aNow](const QueuedRequest& aQueued) {
      return !mLongestRunTimes.willEndBy(
        mStop->mWorkUntil,
        std::min(aQueued.mDeadline, aQueued.mWorkUntil),
        aQueued.mRequest.kind,
        aNow);
    });
  for (QueuedRequest& queued : unfinishable) {
    refuse(queued, NotRunReason::Draining);
  }
}

void
Gate::Impl::refuseMoved()
{
  // Nothing is dispatched while the upstream is down, so requests whose shard
  // has moved to another owner are refused here.
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
  processSubmitted();
  std::vector<QueuedRequest> left =
    mQueue.removeIf([](const QueuedRequest&) { return true; });
  for (QueuedRequest& queued : left) {
    refuse(queued, NotRunReason::Draining);
  }
}

void
Gate::Impl::abandonAll()
{
  logEvent(LogLevel::Warn,
           "gate_stopped_early",
           { { "running", mRuns.size() },
             { "queued", mQueue.size() },
             { "pauses", mPendingPauses.size() } });
  while (!mRuns.empty()) {
    abandon(mRuns.begin()->first, NotRunReason::Draining);
  }
}

void
Gate::Impl::completePauses()
{
  std::set<Shard> busyShards;
  for (const auto& [id, run] : mRuns) {
    busyShards.insert(run.mQueued.mRequest.shard);
  }
  for (const auto& [id, run] : mAbandoned) {
    busyShards.insert(run.mShard);
  }
  std::vector<PendingPause> waiting;
  std::vector<PendingPause> done;
  for (PendingPause& pause : mPendingPauses) {
    const Millis now = mHooks.mNow();
    bool idle = true;
    for (const Shard shard : pause.mShards) {
      // With grants by report, reports name the keys still in use, so the
      // release need not wait for running requests.
      const bool mayRelease = grantsByReport() || !busyShards.contains(shard);
      idle = mayRelease && releaseShard(shard, now) &&
             !busyShards.contains(shard) && idle;
    }
    (idle ? done : waiting).push_back(std::move(pause));
  }
  mPendingPauses = std::move(waiting);
  for (const PendingPause& pause : done) {
    if (mHooks.mGrantableShards) {
      logReleased(pause);
    }
    pause.mDone();
  }
}

Millis
Gate::Impl::nextWake(Millis aNow)
{
  const Millis longest = mQueue.empty() ? kMaxIdleSleep : kMaxSleep;
  Millis next = mQueue.nextEvent(aNow, aNow + longest);
  for (const auto& [id, run] : mRuns) {
    next = std::min({ next, run.mServeUntil, run.mEndTime });
  }
  for (const auto& [id, run] : mAbandoned) {
    if (!run.mCancelInFlight) {
      next = std::min(next, run.mNextCancel);
    }
  }
  if (!mQueue.empty() && occupiedSlots() < mWindow.limit() &&
      mHealth.healthy()) {
    // With a free slot, requests can only be waiting for a new connection or
    // for the limit that the upstream names.
    const Millis mayStartAt =
      std::max(mPacer.nextOpen(), mNamedLimit.nextSend(aNow));
    next = std::min(next, std::max(aNow + Millis{ 1 }, mayStartAt));
  }
  if (!mRuns.empty() && !mOptions.mProtocol.mPushesReports) {
    next = std::min(next, aNow + kPendingAgeCheckInterval);
  }
  if (mStreams > 0) {
    next = std::min(next, aNow + kStreamCheckInterval);
  }
  if (!mPendingPauses.empty()) {
    next = std::min(next, aNow + kPendingAgeCheckInterval);
  }
  if (grantsKeys()) {
    if (!mGrantsAwaitConnection) {
      next = std::min(next, mGrants.nextDue(aNow).value_or(next));
    }
    next = std::min(next, aNow + kGrantableShardsCheckInterval);
  }
  if (mOptions.mProtocol.mPushesReports && !mQueue.empty()) {
    next = std::min(next, aNow + kPendingAgeCheckInterval);
  }
  if (!mProbeInFlight) {
    next = std::min(next, mHealth.nextProbe());
  }
  if (mHealth.lost() && !mIsEndConfirmed) {
    next = std::min(next, mNextEndProbe);
  }
  if (mStopping) {
    next = std::min(next, mStopUntil.load());
  }
  // Events that are already due were handled in this iteration; sleeping at
  // least 1 ms avoids a busy loop.
  return std::max(Millis{ 1 }, next - aNow);
}

bool
Gate::Impl::finished() const
{
  return mStopping && mQueuedCount == 0 && mRuns.empty() &&
         mAbandoned.empty() && mPendingPauses.empty();
}

void
Gate::Impl::publishLoad()
{
  const std::uint32_t n = occupiedSlots();
  updateAdaptive(mHooks.mNow());
  mInFlight = n;
  mPublishedHealthy = mHealth.healthy();
  // For upstreams that push reports, the capacity limits what is moved to them
  // instead of the window.
  mPublishedWindow = mOptions.mProtocol.mPushesReports ? 0 : mWindow.size();
  const Millis now = mHooks.mNow();
  if (mOptions.mProtocol.mPushesReports) {
    const std::lock_guard<std::mutex> lock(mStatusMutex);
    mCurrentStatus = { currentStats(now),
                       static_cast<std::uint32_t>(mQueue.size()) };
  }
  if (now - mGaugesUpdatedAt < kGaugeInterval) {
    return;
  }
  mGaugesUpdatedAt = now;
  mMetrics.gauge("radishroad_gate_in_flight", n);
  mMetrics.gauge("radishroad_gate_queued", mQueuedCount.load());
  mMetrics.gauge("radishroad_gate_window", mPublishedWindow);
  publishLink(now);
  mMetrics.gauge("radishroad_gate_connections",
                 mExchanges.connections().open());
  publishRoom();
}

}

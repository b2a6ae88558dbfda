#include "radishroad/upstream/gate.h"

#include "gate_impl.h"
#include "radishroad/policy/fingerprint.h"
#include "radishroad/upstream/upstream_headers.h"

namespace radishroad {

namespace {

/// A request may wait for its key to be served here for the time to its
/// objective divided by this number, which is longer than an ordinary hand-off
/// takes.
constexpr std::int64_t kKeyWaitDivisor = 6;
constexpr Millis kMinKeyWait{ 30 };

Millis
maxKeyWait(const ForwardRequest& aRequest)
{
  const Millis left{ aRequest.time_left_ms };
  if (aRequest.objective_ms <= 0) {
    return left;
  }
  const Millis share = Millis{ aRequest.objective_ms } / kKeyWaitDivisor;
  return std::min(left, std::max(kMinKeyWait, share));
}

double
capacityOf(const UpstreamStats& aStats)
{
  constexpr double kMillisPerSecond = 1000;
  const std::uint32_t slots =
    aStats.mSustainedSlots > 0 ? aStats.mSustainedSlots : aStats.mSlots;
  const double warm =
    aStats.mRunMs > 0 ? slots * kMillisPerSecond / aStats.mRunMs : 0;
  const double most = maxPerSecond(aStats);
  return most > 0 ? std::min(warm, most) : warm;
}

QueuedRequest
makeQueued(ForwardRequest aRequest, AnswerFn aAnswer, Millis aNow)
{
  QueuedRequest queued;
  queued.mFingerprint = fingerprintOf(aRequest);
  queued.mDeadline = aNow + Millis{ aRequest.time_left_ms };
  queued.mQueuedAt = aNow;
  queued.mKeyWaitUntil = aNow + maxKeyWait(aRequest);
  const Millis workLeft{ aRequest.work_left_ms };
  queued.mWorkUntil =
    workLeft > Millis{}
      ? aNow + std::min(workLeft, Millis{ aRequest.time_left_ms })
      : queued.mDeadline;
  queued.mRequest = std::move(aRequest);
  queued.mAnswer = std::move(aAnswer);
  return queued;
}

}

Gate::Gate(Options aOptions, Hooks aHooks, Metrics& aMetrics)
  : mImpl(
      std::make_unique<Impl>(std::move(aOptions), std::move(aHooks), aMetrics))
{
}

Gate::~Gate()
{
  stop();
}

void
Gate::start()
{
  const std::lock_guard<std::mutex> lock(mImpl->mThreadMutex);
  mImpl->mThread = std::thread([impl = mImpl.get()] { impl->loop(); });
}

void
Gate::configure(const config::Service& aService)
{
  {
    const std::lock_guard<std::mutex> lock(mImpl->mTaskMutex);
    mImpl->mNewService = aService;
  }
  mImpl->mConfigured = true;
  mImpl->mExchanges.wake();
}

void
Gate::submit(ForwardRequest aRequest, AnswerFn aAnswer)
{
  Impl& impl = *mImpl;
  const RandomId id = idOf(aRequest);
  if (!isWellFormed(aRequest)) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::Malformed));
    return;
  }
  const std::uint32_t queued = impl.mQueuedCount.fetch_add(1);
  const bool stopping = impl.mStopping.load();
  const AnswerFn refuse = aAnswer;
  BodyShare bodyShare(impl.mOptions.mBodyMemory);
  const bool fits = bodyShare.tryResize(aRequest.body.size());
  QueuedRequest entry =
    makeQueued(std::move(aRequest), std::move(aAnswer), impl.mHooks.mNow());
  entry.mBodyShare = std::move(bodyShare);
  if (stopping || !fits || queued >= impl.mOptions.mMaxQueued * 2 ||
      !impl.mSubmitted.tryPush(std::move(entry))) {
    impl.mQueuedCount.fetch_sub(1);
    refuse(makeNotRunAnswer(
      id, stopping ? NotRunReason::Draining : NotRunReason::QueueFull));
    return;
  }
  impl.mExchanges.wake();
}

void
Gate::cancel(RandomId aId)
{
  mImpl->post([impl = mImpl.get(), aId] { impl->cancelRequest(aId); });
}

void
Gate::addLinkBytes(std::size_t aBytes)
{
  mImpl->mOtherLinkBytes += aBytes;
}

bool
Gate::isIdle() const
{
  return mImpl->mQueuedCount == 0 && mImpl->mStreams == 0;
}

void
Gate::pauseShards(std::span<const Shard> aShards, std::function<void()> aDone)
{
  std::set<Shard> shards(aShards.begin(), aShards.end());
  mImpl->post([impl = mImpl.get(),
               shards = std::move(shards),
               done = std::move(aDone)]() mutable {
    for (const Shard shard : shards) {
      impl->mPaused.try_emplace(shard, impl->mHooks.mNow());
    }
    impl->mPendingPauses.push_back({ std::move(shards), std::move(done) });
  });
}

void
Gate::resumeShards(std::span<const Shard> aShards)
{
  std::vector<Shard> shards(aShards.begin(), aShards.end());
  mImpl->post([impl = mImpl.get(), shards = std::move(shards)] {
    for (const Shard shard : shards) {
      impl->mPaused.erase(shard);
      impl->mReleases.erase(shard);
    }
  });
}

void
Gate::beginStop(const StopSchedule& aSchedule)
{
  mImpl->post([impl = mImpl.get(), aSchedule] { impl->mStop = aSchedule; });
}

void
Gate::stop(Millis aUntil)
{
  Impl& impl = *mImpl;
  impl.mStopUntil = aUntil;
  impl.mStopping = true;
  // Requests pushed after this are refused; those pushed before are answered.
  impl.mSubmitted.close();
  impl.mExchanges.wake();
  const std::lock_guard<std::mutex> lock(impl.mThreadMutex);
  if (impl.mThread.joinable()) {
    impl.mThread.join();
  }
  impl.refuseSubmitted();
}

bool
Gate::onReport(const UpstreamReport& aReport, const ReportAnswerFn& aAnswer)
{
  std::optional<UpstreamReport> accepted;
  {
    const std::lock_guard<std::mutex> lock(mImpl->mStatusMutex);
    accepted = mImpl->mReportOrder.accept(aReport);
  }
  if (!accepted) {
    if (aAnswer) {
      aAnswer({});
    }
    return false;
  }
  mImpl->post([impl = mImpl.get(), report = *accepted, aAnswer] {
    impl->applyReport(report);
    const ReportAnswer answer = impl->answerReport(report);
    if (aAnswer) {
      aAnswer(answer);
    }
  });
  return true;
}

void
Gate::onHandover(Shard aShard, Epoch aEpoch, std::vector<std::string> aTokens)
{
  mImpl->post(
    [impl = mImpl.get(), aShard, aEpoch, tokens = std::move(aTokens)] {
      impl->mGrants.onHandover(aShard, aEpoch, tokens, impl->mHooks.mNow());
    });
}

Gate::Status
Gate::gateStatus() const
{
  const std::lock_guard<std::mutex> lock(mImpl->mStatusMutex);
  return mImpl->mCurrentStatus;
}

Gate::Load
Gate::takeLoad()
{
  Load load;
  load.mWindow = mImpl->mPublishedWindow;
  load.mCapacity = capacityOf(gateStatus().mStats);
  load.mInFlight = mImpl->mInFlight;
  load.mQueued = mImpl->mQueuedCount;
  load.mHealthy = mImpl->mPublishedHealthy;
  load.mShards = mImpl->mLoad.takeShards();
  load.mHotKeys = mImpl->mLoad.hotKeys(mImpl->mHooks.mNow());
  return load;
}

}

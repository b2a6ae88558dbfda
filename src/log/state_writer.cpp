#include "radishroad/log/state_writer.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/json_log.h"
#include "radishroad/log/append_rate_limiter.h"
#include "radishroad/log/log_appender.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/restored_state_guard.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace radishroad {

namespace {

/// Timeout of one call; the store usually responds within a few milliseconds.
constexpr Millis kCallTimeout{ 1000 };
constexpr Millis kInitialBackoff{ 20 };
constexpr Millis kMaxBackoff{ 500 };
/// stop() closes the queue, which wakes up the thread at once.
constexpr Millis kIdleWait{ 60000 };
/// Maximum records per write: half of the record ids that a state keeps, so
/// that a proposer that misses one state still finds its id in the next.
constexpr std::size_t kMaxBatchRecords = 32;

struct Task
{
  std::string mStream;
  /// The encoded record; empty for a probe.
  Bytes mData;
  Millis mDeadline;
  StateWriter::DoneFn mDone;
};

}

struct StateWriter::Impl
{
  /// The newest state of a stream that this writer has seen.
  struct CachedState
  {
    std::uint64_t mVersion = 0;
    CellState mState;
    /// False after a failed write or an undecodable state, until the next read.
    bool mIsCurrent = false;
    /// Generation of the store by the last read.
    std::uint64_t mGeneration = 0;
    /// The stored state is older than mState, as the store was restored.
    bool mMustRewrite = false;
    RestoredStateGuard mRestoredGuard;
  };

  Impl(const OpenStateStoreFn& aOpen,
       std::size_t aCapacity,
       Hooks aHooks,
       Backoff::RandomFn aRandom)
    : mHooks(std::move(aHooks))
    , mStore(aOpen())
    , mTasks(aCapacity)
    , mBackoff(kInitialBackoff, kMaxBackoff, std::move(aRandom))
    , mRateLimiter(kAppendsPerSecond, kAppendBurst, monotonicNow())
    , mThread([this] { run(); })
  {
  }

  void run()
  {
    while (!mStopped) {
      std::optional<Task> first = mDeferredTask
                                    ? std::exchange(mDeferredTask, std::nullopt)
                                    : mTasks.pop(kIdleWait);
      if (!first) {
        continue;
      }
      std::vector<Task> batch;
      batch.push_back(std::move(*first));
      fillBatch(batch);
      mBackoff.reset();
      processBatch(std::move(batch));
    }
  }

  /// Adds further records of the same stream that are already queued.
  void fillBatch(std::vector<Task>& aBatch)
  {
    while (aBatch.size() < kMaxBatchRecords && !aBatch.front().mData.empty()) {
      std::optional<Task> next = mTasks.pop(Millis{ 0 });
      if (!next) {
        return;
      }
      if (next->mStream != aBatch.front().mStream || next->mData.empty()) {
        mDeferredTask = std::move(next);
        return;
      }
      aBatch.push_back(std::move(*next));
    }
  }

  /// Retries until each task is completed or its deadline has passed.
  void processBatch(std::vector<Task> aBatch)
  {
    const std::string stream = aBatch.front().mStream;
    if (aBatch.front().mData.empty()) {
      aBatch.front().mDone(probeOnce(aBatch.front()));
      return;
    }
    bool outcomeUnknown = false;
    while (true) {
      failExpired(aBatch, outcomeUnknown);
      if (aBatch.empty()) {
        return;
      }
      CachedState& cached = mCache[stream];
      adoptObservedState(stream, cached);
      if (!cached.mIsCurrent && !refresh(stream, cached)) {
        pause(mBackoff.next());
        continue;
      }
      const Attempt attempt = attemptBatch(stream, cached, aBatch);
      outcomeUnknown = outcomeUnknown || attempt == Attempt::OutcomeUnknown;
      if (attempt == Attempt::Completed) {
        return;
      }
      // Backs off, so that conflicting writers do not all retry at once.
      pause(mBackoff.next());
    }
  }

  enum class Attempt
  {
    Completed,
    /// Another writer replaced the state first.
    Conflicted,
    NotWritten,
    OutcomeUnknown,
  };

  Attempt attemptBatch(const std::string& aStream,
                       CachedState& aCached,
                       std::vector<Task>& aBatch)
  {
    std::vector<Bytes> records;
    records.reserve(aBatch.size());
    for (const Task& task : aBatch) {
      records.push_back(task.mData);
    }
    StateChange change = applyRecords(aCached.mState, records);
    change.mState.mStoreGeneration = aCached.mGeneration;
    if (!change.mChanged) {
      // A refusal is final only if it was decided on the newest state.
      if (!refresh(aStream, aCached)) {
        return Attempt::NotWritten;
      }
      const StateChange changeOnNewest = applyRecords(aCached.mState, records);
      if (changeOnNewest.mChanged) {
        return Attempt::Conflicted;
      }
      completeBatch(aBatch, changeOnNewest.mVerdicts);
      return Attempt::Completed;
    }
    waitForToken();
    const Result<std::uint64_t> version =
      replaceState(aStream, aCached, change.mState);
    if (version) {
      const std::uint64_t baseVersion = aCached.mVersion;
      setWritten(aCached, *version, change.mState);
      mHooks.mOnStoreResult(true, {});
      mHooks.mOnState(aStream, aCached.mVersion, aCached.mState);
      mHooks.mOnWritten(aStream, baseVersion, aCached.mVersion, records);
      completeBatch(aBatch, change.mVerdicts);
      return Attempt::Completed;
    }
    aCached.mIsCurrent = false;
    const ErrorCode ec = version.error().mCode;
    if (ec == ErrorCode::Conflict) {
      return Attempt::Conflicted;
    }
    mHooks.mOnStoreResult(false, version.error().mMessage);
    return ec == ErrorCode::Unknown || ec == ErrorCode::Timeout
             ? Attempt::OutcomeUnknown
             : Attempt::NotWritten;
  }

  Result<std::uint64_t> replaceState(const std::string& aStream,
                                     const CachedState& aCached,
                                     const CellState& aState)
  {
    return mStore.mReplace(
      aStream, aCached.mVersion, encodeState(aState), kCallTimeout);
  }

  static void setWritten(CachedState& aCached,
                         std::uint64_t aVersion,
                         const CellState& aState)
  {
    aCached.mVersion = aVersion;
    aCached.mState = aState;
    aCached.mIsCurrent = true;
    aCached.mMustRewrite = false;
  }

  /// A Duplicate counts as Applied: the record was applied by an attempt whose
  /// response was lost.
  static void completeBatch(std::vector<Task>& aBatch,
                            const std::vector<FoldVerdict>& aVerdicts)
  {
    for (std::size_t n = 0; n < aBatch.size(); ++n) {
      const bool applied = aVerdicts[n] == FoldVerdict::Duplicate;
      aBatch[n].mDone(applied ? FoldVerdict::Applied : aVerdicts[n]);
    }
    aBatch.clear();
  }

  bool refresh(const std::string& aStream, CachedState& aCached)
  {
    const Result<StoredState> read =
      mStore.mRead(aStream, aCached.mVersion, Millis{ 0 }, kCallTimeout);
    if (!read) {
      mHooks.mOnStoreResult(false, read.error().mMessage);
      return false;
    }
    mHooks.mOnStoreResult(true, {});
    aCached.mIsCurrent = true;
    aCached.mGeneration = read->mGeneration;
    if (read->mVersion == aCached.mVersion) {
      // It may have been read from the copy by another client of this daemon.
      const RestoredStateGuard::Base base = aCached.mRestoredGuard.choose(
        aCached.mState, read->mGeneration, {}, monotonicNow());
      aCached.mIsCurrent = base != RestoredStateGuard::Base::Undecided;
      return aCached.mIsCurrent;
    }
    CellState state;
    const Result<void> decoded =
      read->mData.empty() ? Result<void>() : decodeState(read->mData, state);
    if (!decoded) {
      mHooks.mOnStoreResult(false, aStream + ": " + decoded.error().mMessage);
      aCached.mIsCurrent = false;
      return false;
    }
    return adoptStoredState(aStream, aCached, *read, std::move(state));
  }

  /// Returns whether the next write may be based on aCached.
  bool adoptStoredState(const std::string& aStream,
                        CachedState& aCached,
                        const StoredState& aRead,
                        CellState aState)
  {
    using Base = RestoredStateGuard::Base;
    const Base base = aCached.mRestoredGuard.choose(
      aState, aRead.mGeneration, aCached.mState, monotonicNow());
    if (base == Base::Undecided) {
      aCached.mIsCurrent = false;
      return false;
    }
    aCached.mVersion = aRead.mVersion;
    aCached.mMustRewrite = base == Base::Known;
    if (base == Base::Known) {
      logEvent(LogLevel::Warn,
               "stored_state_older",
               { { "stream", aStream },
                 { "generation", aRead.mGeneration },
                 { "stored_next", aState.mNextOffset },
                 { "known_next", aCached.mState.mNextOffset } });
      return true;
    }
    aCached.mState = std::move(aState);
    mHooks.mOnState(aStream, aCached.mVersion, aCached.mState);
    return true;
  }

  Result<FoldVerdict> probeOnce(const Task& aTask)
  {
    CachedState& cached = mCache[aTask.mStream];
    adoptObservedState(aTask.mStream, cached);
    if (!refresh(aTask.mStream, cached)) {
      return fail(ErrorCode::Unavailable, "state store did not respond");
    }
    if (cached.mMustRewrite) {
      rewrite(aTask.mStream, cached);
    }
    return FoldVerdict::Ignored;
  }

  /// Writes the known state again to a store that lost it.
  void rewrite(const std::string& aStream, CachedState& aCached)
  {
    aCached.mState.mStoreGeneration = aCached.mGeneration;
    const Result<std::uint64_t> version =
      replaceState(aStream, aCached, aCached.mState);
    if (!version) {
      // Another writer may have done so; the next write finds out.
      aCached.mIsCurrent = false;
      return;
    }
    setWritten(aCached, *version, aCached.mState);
    logEvent(LogLevel::Info,
             "state_rewritten",
             { { "stream", aStream }, { "next", aCached.mState.mNextOffset } });
    mHooks.mOnState(aStream, aCached.mVersion, aCached.mState);
  }

  void adoptObservedState(const std::string& aStream, CachedState& aCached)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = mObserved.find(aStream);
    const bool isNewer =
      it != mObserved.end() && it->second.mVersion > aCached.mVersion &&
      it->second.mState.mNextOffset >= aCached.mState.mNextOffset;
    if (isNewer) {
      aCached.mVersion = it->second.mVersion;
      aCached.mState = std::move(it->second.mState);
      // A state from elsewhere does not tell the store's generation.
      aCached.mIsCurrent = aCached.mGeneration > 0;
      aCached.mMustRewrite = false;
    }
    mObserved.erase(aStream);
  }

  void failExpired(std::vector<Task>& aBatch, bool aOutcomeUnknown)
  {
    const Millis now = monotonicNow();
    const bool stopped = mStopped;
    std::erase_if(aBatch, [&](Task& aTask) {
      if (!stopped && now < aTask.mDeadline) {
        return false;
      }
      aTask.mDone(
        fail(aOutcomeUnknown ? ErrorCode::Unknown : ErrorCode::Unavailable,
             "state store did not confirm the record in time"));
      return true;
    });
  }

  void waitForToken()
  {
    Millis wait = mRateLimiter.acquire(monotonicNow());
    while (!mStopped && wait > Millis{}) {
      pause(wait);
      wait = mRateLimiter.acquire(monotonicNow());
    }
  }

  void pause(Millis aDelay)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mWakeUp.wait_for(lock, std::chrono::milliseconds(aDelay.mCount), [this] {
      return mStopped.load();
    });
  }

  void stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mWakeUp.notify_all();
    mTasks.close();
    mStore.mAbort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  const Hooks mHooks;
  const StateStore mStore;
  BoundedQueue<Task> mTasks;
  std::optional<Task> mDeferredTask;
  Backoff mBackoff;
  AppendRateLimiter mRateLimiter;
  std::map<std::string, CachedState> mCache;
  /// Guarded by mMutex.
  std::map<std::string, CachedState> mObserved;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

StateWriter::StateWriter(const OpenStateStoreFn& aOpen,
                         std::size_t aCapacity,
                         Hooks aHooks,
                         Backoff::RandomFn aRandom)
  : mImpl(std::make_unique<Impl>(aOpen,
                                 aCapacity,
                                 std::move(aHooks),
                                 std::move(aRandom)))
{
}

StateWriter::~StateWriter()
{
  stop();
}

bool
StateWriter::submit(std::string aStream,
                    const wire::RecordT& aRecord,
                    Millis aTimeLimit,
                    DoneFn aDone)
{
  return submit(
    std::move(aStream), encodeRecord(aRecord), aTimeLimit, std::move(aDone));
}

bool
StateWriter::submit(std::string aStream,
                    Bytes aRecord,
                    Millis aTimeLimit,
                    DoneFn aDone)
{
  return mImpl->mTasks.tryPush({ std::move(aStream),
                                 std::move(aRecord),
                                 monotonicNow() + aTimeLimit,
                                 std::move(aDone) });
}

bool
StateWriter::probe(std::string aStream,
                   Millis aTimeLimit,
                   std::function<void(bool)> aDone)
{
  return mImpl->mTasks.tryPush(
    { std::move(aStream),
      {},
      monotonicNow() + aTimeLimit,
      [done = std::move(aDone)](const Result<FoldVerdict>& aAnswer) {
        done(aAnswer.has_value());
      } });
}

void
StateWriter::observeState(const std::string& aStream,
                          std::uint64_t aVersion,
                          const CellState& aState)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  Impl::CachedState& observed = mImpl->mObserved[aStream];
  if (aVersion > observed.mVersion &&
      aState.mNextOffset >= observed.mState.mNextOffset) {
    observed.mVersion = aVersion;
    observed.mState = aState;
  }
}

void
StateWriter::stop()
{
  mImpl->stop();
}

}

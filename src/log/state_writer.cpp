#include "radishroad/log/state_writer.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/log/append_rate_limiter.h"
#include "radishroad/log/log_appender.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
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
    const StateChange change = applyRecords(aCached.mState, records);
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
    const Result<std::uint64_t> version = mStore.mReplace(
      aStream, aCached.mVersion, encodeState(change.mState), kCallTimeout);
    if (version) {
      const std::uint64_t baseVersion = aCached.mVersion;
      aCached = { *version, change.mState, true };
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
    if (read->mVersion == aCached.mVersion) {
      return true;
    }
    CellState state;
    const Result<void> decoded = decodeState(read->mData, state);
    if (!decoded) {
      mHooks.mOnStoreResult(false, aStream + ": " + decoded.error().mMessage);
      aCached.mIsCurrent = false;
      return false;
    }
    aCached.mVersion = read->mVersion;
    aCached.mState = std::move(state);
    mHooks.mOnState(aStream, aCached.mVersion, aCached.mState);
    return true;
  }

  Result<FoldVerdict> probeOnce(const Task& aTask)
  {
    if (!refresh(aTask.mStream, mCache[aTask.mStream])) {
      return fail(ErrorCode::Unavailable, "state store did not respond");
    }
    return FoldVerdict::Ignored;
  }

  void adoptObservedState(const std::string& aStream, CachedState& aCached)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = mObserved.find(aStream);
    if (it != mObserved.end() && it->second.mVersion > aCached.mVersion) {
      aCached = std::move(it->second);
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
  if (aVersion > observed.mVersion) {
    observed = { aVersion, aState, true };
  }
}

void
StateWriter::stop()
{
  mImpl->stop();
}

}

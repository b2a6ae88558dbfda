#include "radishroad/log/state_writer.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/log/append_limit.h"
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

/// Longest wait for one call; the store answers in a few milliseconds.
constexpr Millis kCallTimeout{ 1000 };
constexpr Millis kFirstBackoff{ 20 };
constexpr Millis kLongestBackoff{ 500 };
/// The ring is closed on stop, which wakes the thread at once.
constexpr Millis kIdleWait{ 60000 };
/// Records folded into one write: half of the ids that a state keeps, so that
/// a proposer that misses one state still finds its id in the next.
constexpr std::size_t kMaxBatch = 32;

struct Task
{
  std::string mStream;
  /// The record; empty for a probe.
  Bytes mData;
  Millis mGiveUpAt;
  StateWriter::DoneFn mDone;
};

}

struct StateWriter::Impl
{
  /// What is known of a stream.
  struct Known
  {
    std::uint64_t mVersion = 0;
    CellState mState;
    /// Read or written since the last failure.
    bool mFresh = false;
  };

  Impl(const OpenStateStoreFn& aOpen,
       std::size_t aCapacity,
       Hooks aHooks,
       Backoff::RandomFn aRandom)
    : mHooks(std::move(aHooks))
    , mStore(aOpen())
    , mTasks(aCapacity)
    , mBackoff(kFirstBackoff, kLongestBackoff, std::move(aRandom))
    , mLimit(kAppendsPerSecond, kAppendBurst, monotonicNow())
    , mThread([this] { run(); })
  {
  }

  void run()
  {
    while (!mStopped) {
      std::optional<Task> first =
        mHeld ? std::exchange(mHeld, std::nullopt) : mTasks.pop(kIdleWait);
      if (!first) {
        continue;
      }
      std::vector<Task> batch;
      batch.push_back(std::move(*first));
      fillBatch(batch);
      mBackoff.reset();
      settle(std::move(batch));
    }
  }

  /// Takes further records of the same stream that wait already.
  void fillBatch(std::vector<Task>& aBatch)
  {
    while (aBatch.size() < kMaxBatch && !aBatch.front().mData.empty()) {
      std::optional<Task> next = mTasks.pop(Millis{ 0 });
      if (!next) {
        return;
      }
      if (next->mStream != aBatch.front().mStream || next->mData.empty()) {
        mHeld = std::move(next);
        return;
      }
      aBatch.push_back(std::move(*next));
    }
  }

  /// Tries until each task is settled or its time is up.
  void settle(std::vector<Task> aBatch)
  {
    const std::string stream = aBatch.front().mStream;
    if (aBatch.front().mData.empty()) {
      aBatch.front().mDone(probeOnce(aBatch.front()));
      return;
    }
    bool inDoubt = false;
    while (true) {
      giveUpLate(aBatch, inDoubt);
      if (aBatch.empty()) {
        return;
      }
      Known& known = mKnown[stream];
      takeLearned(stream, known);
      if (!known.mFresh && !refresh(stream, known)) {
        pause(mBackoff.next());
        continue;
      }
      const Attempt attempt = tryBatch(stream, known, aBatch);
      inDoubt = inDoubt || attempt == Attempt::InDoubt;
      if (attempt == Attempt::Settled) {
        return;
      }
      // Writers that raced must not all come again at once.
      pause(mBackoff.next());
    }
  }

  enum class Attempt
  {
    Settled,
    /// Another writer was first.
    Raced,
    NotWritten,
    InDoubt,
  };

  Attempt tryBatch(const std::string& aStream,
                   Known& aKnown,
                   std::vector<Task>& aBatch)
  {
    std::vector<Bytes> records;
    records.reserve(aBatch.size());
    for (const Task& task : aBatch) {
      records.push_back(task.mData);
    }
    const StateChange change = applyRecords(aKnown.mState, records);
    if (!change.mChanged) {
      // A refusal counts only against the newest state.
      if (!refresh(aStream, aKnown)) {
        return Attempt::NotWritten;
      }
      const StateChange again = applyRecords(aKnown.mState, records);
      if (again.mChanged) {
        return Attempt::Raced;
      }
      finish(aBatch, again.mVerdicts);
      return Attempt::Settled;
    }
    waitForToken();
    const Result<std::uint64_t> version = mStore.mReplace(
      aStream, aKnown.mVersion, encodeState(change.mState), kCallTimeout);
    if (version) {
      const std::uint64_t base = aKnown.mVersion;
      aKnown = { *version, change.mState, true };
      mHooks.mOnStore(true, {});
      mHooks.mOnState(aStream, aKnown.mVersion, aKnown.mState);
      mHooks.mOnWritten(aStream, base, aKnown.mVersion, records);
      finish(aBatch, change.mVerdicts);
      return Attempt::Settled;
    }
    aKnown.mFresh = false;
    const ErrorCode ec = version.error().mCode;
    if (ec == ErrorCode::Conflict) {
      return Attempt::Raced;
    }
    mHooks.mOnStore(false, version.error().mMessage);
    return ec == ErrorCode::Unknown || ec == ErrorCode::Timeout
             ? Attempt::InDoubt
             : Attempt::NotWritten;
  }

  /// A record that is in the state already was applied by an attempt whose
  /// answer was lost.
  static void finish(std::vector<Task>& aBatch,
                     const std::vector<FoldVerdict>& aVerdicts)
  {
    for (std::size_t n = 0; n < aBatch.size(); ++n) {
      const bool applied = aVerdicts[n] == FoldVerdict::Duplicate;
      aBatch[n].mDone(applied ? FoldVerdict::Applied : aVerdicts[n]);
    }
    aBatch.clear();
  }

  bool refresh(const std::string& aStream, Known& aKnown)
  {
    const Result<StoredState> read =
      mStore.mRead(aStream, aKnown.mVersion, Millis{ 0 }, kCallTimeout);
    if (!read) {
      mHooks.mOnStore(false, read.error().mMessage);
      return false;
    }
    mHooks.mOnStore(true, {});
    aKnown.mFresh = true;
    if (read->mVersion == aKnown.mVersion) {
      return true;
    }
    CellState state;
    const Result<void> decoded = decodeState(read->mData, state);
    if (!decoded) {
      mHooks.mOnStore(false, aStream + ": " + decoded.error().mMessage);
      aKnown.mFresh = false;
      return false;
    }
    aKnown.mVersion = read->mVersion;
    aKnown.mState = std::move(state);
    mHooks.mOnState(aStream, aKnown.mVersion, aKnown.mState);
    return true;
  }

  Result<FoldVerdict> probeOnce(const Task& aTask)
  {
    if (!refresh(aTask.mStream, mKnown[aTask.mStream])) {
      return fail(ErrorCode::Unavailable, "the store does not answer");
    }
    return FoldVerdict::Ignored;
  }

  void takeLearned(const std::string& aStream, Known& aKnown)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto it = mLearned.find(aStream);
    if (it != mLearned.end() && it->second.mVersion > aKnown.mVersion) {
      aKnown = std::move(it->second);
    }
    mLearned.erase(aStream);
  }

  void giveUpLate(std::vector<Task>& aBatch, bool aInDoubt)
  {
    const Millis now = monotonicNow();
    const bool stopped = mStopped;
    std::erase_if(aBatch, [&](Task& aTask) {
      if (!stopped && now < aTask.mGiveUpAt) {
        return false;
      }
      aTask.mDone(fail(aInDoubt ? ErrorCode::Unknown : ErrorCode::Unavailable,
                       "the store did not settle the record in time"));
      return true;
    });
  }

  void waitForToken()
  {
    Millis wait = mLimit.take(monotonicNow());
    while (!mStopped && wait > Millis{}) {
      pause(wait);
      wait = mLimit.take(monotonicNow());
    }
  }

  void pause(Millis aDelay)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mWake.wait_for(lock, std::chrono::milliseconds(aDelay.mCount), [this] {
      return mStopped.load();
    });
  }

  void stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mWake.notify_all();
    mTasks.close();
    mStore.mAbort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  const Hooks mHooks;
  const StateStore mStore;
  BoundedQueue<Task> mTasks;
  std::optional<Task> mHeld;
  Backoff mBackoff;
  AppendLimit mLimit;
  std::map<std::string, Known> mKnown;
  /// Guarded by mMutex.
  std::map<std::string, Known> mLearned;
  std::mutex mMutex;
  std::condition_variable mWake;
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
                    Millis aGiveUpAfter,
                    DoneFn aDone)
{
  return submit(
    std::move(aStream), encodeRecord(aRecord), aGiveUpAfter, std::move(aDone));
}

bool
StateWriter::submit(std::string aStream,
                    Bytes aRecord,
                    Millis aGiveUpAfter,
                    DoneFn aDone)
{
  return mImpl->mTasks.tryPush({ std::move(aStream),
                                 std::move(aRecord),
                                 monotonicNow() + aGiveUpAfter,
                                 std::move(aDone) });
}

bool
StateWriter::probe(std::string aStream,
                   Millis aGiveUpAfter,
                   std::function<void(bool)> aDone)
{
  return mImpl->mTasks.tryPush(
    { std::move(aStream),
      {},
      monotonicNow() + aGiveUpAfter,
      [done = std::move(aDone)](const Result<FoldVerdict>& aAnswer) {
        done(aAnswer.has_value());
      } });
}

void
StateWriter::learn(const std::string& aStream,
                   std::uint64_t aVersion,
                   const CellState& aState)
{
  const std::lock_guard<std::mutex> lock(mImpl->mMutex);
  Impl::Known& learned = mImpl->mLearned[aStream];
  if (aVersion > learned.mVersion) {
    learned = { aVersion, aState, true };
  }
}

void
StateWriter::stop()
{
  mImpl->stop();
}

}

#include "radishroad/log/log_follower.h"

#include "radishroad/log/log_client.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace radishroad {

namespace {

constexpr Millis kDefaultPollWait{ 2000 };
/// Bounds the rate of reads while polls return no records.
constexpr Millis kMinPollWait{ 10 };
/// Time beyond its wait after which a poll counts as failed.
constexpr Millis kPollMargin{ 5000 };
constexpr Millis kBoundsTimeout{ 5000 };
constexpr Millis kInitialBackoff{ 100 };
constexpr Millis kMaxBackoff{ 2000 };

}

struct LogFollower::Impl
{
  Impl(std::string aAddress,
       std::string aStream,
       Hooks aHooks,
       Backoff::RandomFn aRandom)
    : mClient(std::move(aAddress))
    , mStream(std::move(aStream))
    , mHooks(std::move(aHooks))
    , mBackoff(kInitialBackoff, kMaxBackoff, std::move(aRandom))
  {
  }

  struct Position
  {
    std::uint64_t mNext = 0;
    Millis mWait;
  };

  Position position()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return { mNext, mWait };
  }

  void skipTo(std::uint64_t aNext)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mNext = std::max(mNext, aNext);
  }

  bool stopped()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mStopped;
  }

  void run()
  {
    while (!stopped()) {
      pollOnce();
    }
  }

  void pollOnce()
  {
    const Position from = position();
    const Millis polledAt = monotonicNow();
    const Result<std::vector<LogRecord>> records =
      mClient.read(mStream, from.mNext, from.mWait, from.mWait + kPollMargin);
    if (stopped()) {
      return;
    }
    if (records) {
      mBackoff.reset();
      mOldestOffset = mClient.oldestOffset();
      deliver(*records, polledAt);
    } else if (records.error().mCode == ErrorCode::Expired) {
      restartFromOldest(from.mNext);
    } else {
      onFailure(records.error());
    }
  }

  /// Drops the records that skipTo() has passed since the poll was sent.
  void deliver(std::span<const LogRecord> aRecords, Millis aPolledAt)
  {
    const std::uint64_t next = position().mNext;
    while (!aRecords.empty() && aRecords.front().mOffset < next) {
      aRecords = aRecords.subspan(1);
    }
    mHooks.mOnRecords(aRecords, aPolledAt);
    if (!aRecords.empty()) {
      skipTo(aRecords.back().mOffset + 1);
    }
  }

  void restartFromOldest(std::uint64_t aWanted)
  {
    const Result<LogClient::Bounds> bounds =
      mClient.bounds(mStream, kBoundsTimeout);
    if (stopped()) {
      return;
    }
    if (!bounds) {
      onFailure(bounds.error());
      return;
    }
    if (bounds->mOldest <= aWanted) {
      onFailure(
        { ErrorCode::Expired, "log reported a retained offset as expired" });
      return;
    }
    skipTo(bounds->mOldest);
    mHooks.mOnGap(position().mNext);
  }

  void onFailure(const Error& aError)
  {
    mHooks.mOnError(aError);
    const std::chrono::milliseconds delay(mBackoff.next().mCount);
    std::unique_lock<std::mutex> lock(mMutex);
    mWakeUp.wait_for(lock, delay, [this] { return mStopped; });
  }

  void stop()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mWakeUp.notify_all();
    mClient.abort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  LogClient mClient;
  std::string mStream;
  Hooks mHooks;
  Backoff mBackoff;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
  std::uint64_t mNext = 0;
  Millis mWait = kDefaultPollWait;
  bool mStopped = false;
  std::atomic<std::uint64_t> mOldestOffset{ 0 };
  std::thread mThread;
};

LogFollower::LogFollower(std::string aAddress,
                         std::string aStream,
                         Hooks aHooks)
  : LogFollower(std::move(aAddress),
                std::move(aStream),
                std::move(aHooks),
                systemRandom())
{
}

LogFollower::LogFollower(std::string aAddress,
                         std::string aStream,
                         Hooks aHooks,
                         Backoff::RandomFn aRandom)
  : mImpl(std::make_unique<Impl>(std::move(aAddress),
                                 std::move(aStream),
                                 std::move(aHooks),
                                 std::move(aRandom)))
{
}

LogFollower::~LogFollower()
{
  stop();
}

void
LogFollower::start(std::uint64_t aFrom)
{
  mImpl->skipTo(aFrom);
  mImpl->mThread = std::thread([this] { mImpl->run(); });
}

void
LogFollower::skipTo(std::uint64_t aNext)
{
  mImpl->skipTo(aNext);
}

std::uint64_t
LogFollower::oldestOffset() const
{
  return mImpl->mOldestOffset;
}

void
LogFollower::setPollWait(Millis aWait)
{
  std::lock_guard<std::mutex> lock(mImpl->mMutex);
  mImpl->mWait = std::max(aWait, kMinPollWait);
}

void
LogFollower::stop()
{
  mImpl->stop();
}

}

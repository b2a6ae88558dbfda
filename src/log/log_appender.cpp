#include "radishroad/log/log_appender.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/log/append_limit.h"
#include "radishroad/log/log_client.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace radishroad {

namespace {

constexpr Millis kAttemptTimeout{ 2000 };
constexpr Millis kFirstBackoff{ 50 };
constexpr Millis kLongestBackoff{ 2000 };
/// The ring is closed on stop, which wakes the thread at once.
constexpr Millis kIdleWait{ 60000 };

struct Task
{
  std::string mStream;
  /// The record; empty for a probe.
  Bytes mData;
  Millis mGiveUpAt;
  LogAppender::DoneFn mDone;
};

}

struct LogAppender::Impl
{
  Impl(std::string aAddress, std::size_t aCapacity, Backoff::RandomFn aRandom)
    : mClient(std::move(aAddress))
    , mTasks(aCapacity)
    , mBackoff(kFirstBackoff, kLongestBackoff, std::move(aRandom))
    , mLimit(kAppendsPerSecond, kAppendBurst, monotonicNow())
    , mThread([this] { run(); })
  {
  }

  void run()
  {
    while (true) {
      std::optional<Task> task = mTasks.pop(kIdleWait);
      if (task) {
        mBackoff.reset();
        task->mDone(task->mData.empty() ? probe(*task) : appendUntil(*task));
      } else if (stopped()) {
        return;
      }
    }
  }

  /// One record's attempts. An attempt without an answer makes the outcome
  /// unknown for good, whatever the later ones tell.
  Result<std::uint64_t> appendUntil(const Task& aTask)
  {
    Error last{ ErrorCode::Unavailable, "given up before it was sent" };
    while (waitForToken(aTask.mGiveUpAt)) {
      const Millis left = aTask.mGiveUpAt - monotonicNow();
      Result<std::uint64_t> offset = mClient.append(
        aTask.mStream, aTask.mData, std::min(left, kAttemptTimeout));
      if (offset || offset.error().mCode == ErrorCode::TooLarge) {
        return offset;
      }
      const bool wasUnknown = last.mCode == ErrorCode::Unknown;
      last = std::move(offset.error());
      last.mCode = wasUnknown ? ErrorCode::Unknown : last.mCode;
      pause(mBackoff.next(), aTask.mGiveUpAt);
    }
    return tl::unexpected<Error>(std::move(last));
  }

  Result<std::uint64_t> probe(const Task& aTask)
  {
    const Millis left = aTask.mGiveUpAt - monotonicNow();
    if (left <= Millis{}) {
      return fail(ErrorCode::Unavailable, "given up before it was sent");
    }
    return mClient.bounds(aTask.mStream, left)
      .map([](const LogClient::Bounds& aBounds) { return aBounds.mNext; });
  }

  /// False if the time is up or the appender stops before there is a token.
  bool waitForToken(Millis aGiveUpAt)
  {
    while (!stopped() && monotonicNow() < aGiveUpAt) {
      const Millis wait = mLimit.take(monotonicNow());
      if (wait == Millis{}) {
        return true;
      }
      pause(wait, aGiveUpAt);
    }
    return false;
  }

  void pause(Millis aDelay, Millis aGiveUpAt)
  {
    const Millis delay = std::min(aDelay, aGiveUpAt - monotonicNow());
    std::unique_lock<std::mutex> lock(mMutex);
    mWake.wait_for(lock, std::chrono::milliseconds(delay.mCount), [this] {
      return mStopped;
    });
  }

  bool stopped()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mStopped;
  }

  void stop()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mWake.notify_all();
    mTasks.close();
    mClient.abort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  LogClient mClient;
  BoundedQueue<Task> mTasks;
  Backoff mBackoff;
  AppendLimit mLimit;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopped = false;
  std::thread mThread;
};

LogAppender::LogAppender(std::string aAddress, std::size_t aCapacity)
  : LogAppender(std::move(aAddress), aCapacity, systemRandom())
{
}

LogAppender::LogAppender(std::string aAddress,
                         std::size_t aCapacity,
                         Backoff::RandomFn aRandom)
  : mImpl(std::make_unique<Impl>(std::move(aAddress),
                                 aCapacity,
                                 std::move(aRandom)))
{
}

LogAppender::~LogAppender()
{
  stop();
}

bool
LogAppender::submit(std::string aStream,
                    const wire::RecordT& aRecord,
                    Millis aGiveUpAfter,
                    DoneFn aDone)
{
  return mImpl->mTasks.tryPush({ std::move(aStream),
                                 encodeRecord(aRecord),
                                 monotonicNow() + aGiveUpAfter,
                                 std::move(aDone) });
}

bool
LogAppender::probe(std::string aStream, Millis aGiveUpAfter, DoneFn aDone)
{
  return mImpl->mTasks.tryPush({ std::move(aStream),
                                 {},
                                 monotonicNow() + aGiveUpAfter,
                                 std::move(aDone) });
}

void
LogAppender::stop()
{
  mImpl->stop();
}

}

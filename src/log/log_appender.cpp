#include "radishroad/log/log_appender.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/log/append_rate_limiter.h"
#include "radishroad/log/log_client.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace radishroad {

namespace {

constexpr Millis kAttemptTimeout{ 2000 };
constexpr Millis kInitialBackoff{ 50 };
constexpr Millis kMaxBackoff{ 2000 };
/// stop() closes the queue, which wakes up the thread at once.
constexpr Millis kIdleWait{ 60000 };

struct Task
{
  std::string mStream;
  /// The encoded record; empty for a probe.
  Bytes mData;
  Millis mDeadline;
  LogAppender::DoneFn mDone;
};

}

struct LogAppender::Impl
{
  Impl(std::string aAddress, std::size_t aCapacity, Backoff::RandomFn aRandom)
    : mClient(std::move(aAddress))
    , mTasks(aCapacity)
    , mBackoff(kInitialBackoff, kMaxBackoff, std::move(aRandom))
    , mRateLimiter(kAppendsPerSecond, kAppendBurst, monotonicNow())
    , mThread([this] { run(); })
  {
  }

  void run()
  {
    while (true) {
      std::optional<Task> task = mTasks.pop(kIdleWait);
      if (task) {
        mBackoff.reset();
        task->mDone(task->mData.empty() ? probe(*task)
                                        : appendWithRetries(*task));
      } else if (stopped()) {
        return;
      }
    }
  }

  /// Makes the attempts for one record. Once an attempt got no response, the
  /// result is Unknown unless a later attempt succeeds.
  Result<std::uint64_t> appendWithRetries(const Task& aTask)
  {
    Error lastError{ ErrorCode::Unavailable,
                     "append stopped or timed out before it was sent" };
    while (waitForToken(aTask.mDeadline)) {
      const Millis remaining = aTask.mDeadline - monotonicNow();
      Result<std::uint64_t> offset = mClient.append(
        aTask.mStream, aTask.mData, std::min(remaining, kAttemptTimeout));
      if (offset || offset.error().mCode == ErrorCode::TooLarge) {
        return offset;
      }
      const bool wasUnknown = lastError.mCode == ErrorCode::Unknown;
      lastError = std::move(offset.error());
      lastError.mCode = wasUnknown ? ErrorCode::Unknown : lastError.mCode;
      pause(mBackoff.next(), aTask.mDeadline);
    }
    return tl::unexpected<Error>(std::move(lastError));
  }

  Result<std::uint64_t> probe(const Task& aTask)
  {
    const Millis remaining = aTask.mDeadline - monotonicNow();
    if (remaining <= Millis{}) {
      return fail(ErrorCode::Unavailable,
                  "time limit passed before the request was sent");
    }
    return mClient.bounds(aTask.mStream, remaining)
      .map([](const LogClient::Bounds& aBounds) { return aBounds.mNext; });
  }

  /// Returns false if the deadline passes or the appender stops before a token
  /// is available.
  bool waitForToken(Millis aDeadline)
  {
    while (!stopped() && monotonicNow() < aDeadline) {
      const Millis wait = mRateLimiter.acquire(monotonicNow());
      if (wait == Millis{}) {
        return true;
      }
      pause(wait, aDeadline);
    }
    return false;
  }

  void pause(Millis aDelay, Millis aDeadline)
  {
    const Millis delay = std::min(aDelay, aDeadline - monotonicNow());
    std::unique_lock<std::mutex> lock(mMutex);
    mWakeUp.wait_for(lock, std::chrono::milliseconds(delay.mCount), [this] {
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
    mWakeUp.notify_all();
    mTasks.close();
    mClient.abort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  LogClient mClient;
  BoundedQueue<Task> mTasks;
  Backoff mBackoff;
  AppendRateLimiter mRateLimiter;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
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
                    Millis aTimeLimit,
                    DoneFn aDone)
{
  return mImpl->mTasks.tryPush({ std::move(aStream),
                                 encodeRecord(aRecord),
                                 monotonicNow() + aTimeLimit,
                                 std::move(aDone) });
}

bool
LogAppender::probe(std::string aStream, Millis aTimeLimit, DoneFn aDone)
{
  return mImpl->mTasks.tryPush(
    { std::move(aStream), {}, monotonicNow() + aTimeLimit, std::move(aDone) });
}

void
LogAppender::stop()
{
  mImpl->stop();
}

}

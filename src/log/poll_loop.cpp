#include "radishroad/log/poll_loop.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace radishroad {

namespace {

constexpr Millis kInitialBackoff{ 100 };

}

struct PollLoop::Impl
{
  Impl(Hooks aHooks, Backoff::RandomFn aRandom)
    : mHooks(std::move(aHooks))
    , mBackoff(kInitialBackoff, mHooks.mMaxBackoff, std::move(aRandom))
  {
  }

  bool stopped()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mStopped;
  }

  void pause(Millis aTime)
  {
    const std::chrono::milliseconds delay(aTime.mCount);
    std::unique_lock<std::mutex> lock(mMutex);
    mWakeUp.wait_for(
      lock, delay, [this] { return mStopped || mPollRequested; });
    if (mPollRequested) {
      mWakeUp.wait_for(lock,
                       std::chrono::milliseconds(mHooks.mCoalesceTime.mCount),
                       [this] { return mStopped; });
      mPollRequested = false;
    }
  }

  void run()
  {
    pause(mHooks.mInitialDelay);
    while (!stopped()) {
      const Result<void> result = mHooks.mPoll();
      if (stopped()) {
        return;
      }
      if (result) {
        mBackoff.reset();
        pause(mHooks.mInterval);
      } else {
        mHooks.mOnError(result.error());
        pause(mBackoff.next());
      }
    }
  }

  void stop()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mWakeUp.notify_all();
    mHooks.mAbort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  const Hooks mHooks;
  Backoff mBackoff;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
  bool mStopped = false;
  bool mPollRequested = false;
  std::thread mThread;
};

PollLoop::PollLoop(Hooks aHooks, Backoff::RandomFn aRandom)
  : mImpl(std::make_unique<Impl>(std::move(aHooks), std::move(aRandom)))
{
}

PollLoop::~PollLoop()
{
  stop();
}

void
PollLoop::start()
{
  mImpl->mThread = std::thread([this] { mImpl->run(); });
}

void
PollLoop::requestPoll()
{
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mPollRequested = true;
  }
  mImpl->mWakeUp.notify_all();
}

void
PollLoop::stop()
{
  mImpl->stop();
}

}

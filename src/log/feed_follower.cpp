#include "radishroad/log/feed_follower.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace radishroad {

namespace {

constexpr Millis kFirstBackoff{ 100 };
/// Short enough that a store that is back is noticed within a second.
constexpr Millis kLongestBackoff{ 800 };
/// Several states may follow each other closely; one poll reads the last.
constexpr std::chrono::milliseconds kSoon{ 100 };

}

struct FeedFollower::Impl
{
  Impl(Hooks aHooks, Backoff::RandomFn aRandom)
    : mHooks(std::move(aHooks))
    , mBackoff(kFirstBackoff, kLongestBackoff, std::move(aRandom))
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
    mWake.wait_for(lock, delay, [this] { return mStopped || mSoon; });
    if (mSoon) {
      mWake.wait_for(lock, kSoon, [this] { return mStopped; });
      mSoon = false;
    }
  }

  void run()
  {
    pause(mHooks.mFirstPause);
    while (!stopped()) {
      const Result<void> answered = mHooks.mPoll();
      if (stopped()) {
        return;
      }
      if (answered) {
        mBackoff.reset();
        pause(mHooks.mInterval);
      } else {
        mHooks.mOnError(answered.error());
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
    mWake.notify_all();
    mHooks.mAbort();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  const Hooks mHooks;
  Backoff mBackoff;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopped = false;
  bool mSoon = false;
  std::thread mThread;
};

FeedFollower::FeedFollower(Hooks aHooks, Backoff::RandomFn aRandom)
  : mImpl(std::make_unique<Impl>(std::move(aHooks), std::move(aRandom)))
{
}

FeedFollower::~FeedFollower()
{
  stop();
}

void
FeedFollower::start()
{
  mImpl->mThread = std::thread([this] { mImpl->run(); });
}

void
FeedFollower::pollSoon()
{
  {
    const std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mSoon = true;
  }
  mImpl->mWake.notify_all();
}

void
FeedFollower::stop()
{
  mImpl->stop();
}

}

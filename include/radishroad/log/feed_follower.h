#ifndef RADISHROAD_LOG_FEED_FOLLOWER_H
#define RADISHROAD_LOG_FEED_FOLLOWER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/log/backoff.h"

#include <functional>
#include <memory>

namespace radishroad {

/// Repeats a long poll on a thread of its own, with jittered back-off after
/// failures. What is polled, and what becomes of it, is up to the hooks, which
/// all run on that thread.
class FeedFollower
{
public:
  struct Hooks
  {
    /// One poll. True if the store answered.
    std::function<Result<void>()> mPoll;
    /// A poll failed.
    std::function<void(const Error&)> mOnError;
    /// Pause between polls that were answered.
    Millis mInterval;
    /// Pause before the first poll.
    Millis mFirstPause;
    /// Ends a poll under way; from any thread.
    std::function<void()> mAbort;
  };

  FeedFollower(Hooks aHooks, Backoff::RandomFn aRandom);
  ~FeedFollower();
  FeedFollower(const FeedFollower&) = delete;
  FeedFollower& operator=(const FeedFollower&) = delete;

  void start();
  /// Any thread: polls before the interval is over, once for all that asked
  /// within a moment.
  void pollSoon();
  /// No hook is called once it has returned. Not to be called from a hook.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

#ifndef RADISHROAD_LOG_POLL_LOOP_H
#define RADISHROAD_LOG_POLL_LOOP_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/log/backoff.h"

#include <functional>
#include <memory>

namespace radishroad {

/// Repeats a long poll on its own thread, with jittered backoff after failures.
/// The hooks make the poll and process its result; mPoll and mOnError run on
/// that thread.
class PollLoop
{
public:
  struct Hooks
  {
    /// Makes one poll. Succeeds if the store responded.
    std::function<Result<void>()> mPoll;
    /// Called when a poll failed.
    std::function<void(const Error&)> mOnError;
    /// Delay between successful polls.
    Millis mInterval;
    /// Delay before the first poll.
    Millis mInitialDelay;
    /// Delay before a requested poll, so that requests that follow each other
    /// closely share one.
    Millis mCoalesceTime{ 100 };
    /// Longest delay between failed polls.
    Millis mMaxBackoff{ 800 };
    /// Ends a poll in progress. Called from any thread.
    std::function<void()> mAbort;
  };

  PollLoop(Hooks aHooks, Backoff::RandomFn aRandom);
  ~PollLoop();
  PollLoop(const PollLoop&) = delete;
  PollLoop& operator=(const PollLoop&) = delete;

  void start();
  /// Thread-safe. Starts the next poll before the interval has passed.
  void requestPoll();
  /// No hook is called after stop() has returned. Must not be called from a
  /// hook.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

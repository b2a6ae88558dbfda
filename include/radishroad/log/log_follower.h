#ifndef RADISHROAD_LOG_LOG_FOLLOWER_H
#define RADISHROAD_LOG_LOG_FOLLOWER_H

#include "radishroad/base/millis.h"
#include "radishroad/log/backoff.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace radishroad {

/// Follows one stream on a thread of its own with long polls, and hands over
/// each batch of records in offset order without gaps. Failed reads are
/// repeated with jittered back-off. A reader that has fallen behind what the
/// log keeps starts again from the oldest record kept; the receiver then
/// needs a snapshot from there.
class LogFollower
{
public:
  struct Hooks
  {
    /// Records in offset order; empty when a poll ended with nothing new, so
    /// that the receiver knows the log answers.
    /// aAskedAt is the monotonic time at which the poll was sent: what the
    /// answer says of the log's end was true then, not when it was read.
    std::function<void(std::span<const LogRecord>, Millis aAskedAt)> mOnRecords;
    /// The log could not be read.
    std::function<void(const Error&)> mOnError;
    /// Reading starts again at this offset, which is past the one wanted.
    std::function<void(std::uint64_t)> mOnGap;
  };

  LogFollower(std::string aAddress, std::string aStream, Hooks aHooks);
  /// aRandom is the source of the back-off's jitter.
  LogFollower(std::string aAddress,
              std::string aStream,
              Hooks aHooks,
              Backoff::RandomFn aRandom);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Starts the thread, reading from aFrom.
  void start(std::uint64_t aFrom);
  /// Skips ahead to aNext, for records that came by way of a peer.
  void skipTo(std::uint64_t aNext);
  /// Oldest offset that the log keeps, as last seen; any thread. 0 before.
  std::uint64_t oldestKept() const;
  /// How long a poll waits for the first record (2 s at first, 10 ms at least);
  /// any thread, from the next poll on. Bounds the time between two calls of
  /// mOnRecords.
  void setPollWait(Millis aWait);
  /// Ends the poll under way. No hook is called once it has returned. Not to
  /// be called from a hook.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

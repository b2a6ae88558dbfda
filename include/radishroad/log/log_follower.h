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

/// Follows one stream with long polls on its own thread, and delivers batches
/// of records in offset order without gaps. Failed reads are retried with
/// jittered backoff. If the next offset is no longer retained by the log, the
/// follower continues from the oldest retained record; its user then needs a
/// snapshot from that offset.
class LogFollower
{
public:
  struct Hooks
  {
    /// Called with records in offset order, or with none if a poll ended
    /// without new records, which shows that the log responds.
    ///
    /// aPolledAt is the monotonic time at which the poll was sent: the end of
    /// the log in the response was current then, not when the response was
    /// read.
    std::function<void(std::span<const LogRecord>, Millis aPolledAt)>
      mOnRecords;
    /// Called when a read failed.
    std::function<void(const Error&)> mOnError;
    /// Called when the follower continues at this offset, which is after the
    /// requested one.
    std::function<void(std::uint64_t)> mOnGap;
  };

  LogFollower(std::string aAddress, std::string aStream, Hooks aHooks);
  /// aRandom provides the jitter of the backoff.
  LogFollower(std::string aAddress,
              std::string aStream,
              Hooks aHooks,
              Backoff::RandomFn aRandom);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Starts the thread and reads from aFrom on.
  void start(std::uint64_t aFrom);
  /// Skips ahead to aNext because the records before it were received from a
  /// peer.
  void skipTo(std::uint64_t aNext);
  /// Oldest retained offset as of the last successful read; 0 before the first
  /// one. Thread-safe.
  std::uint64_t oldestOffset() const;
  /// Sets how long a poll waits for the first record (default 2 s, minimum 10
  /// ms), starting with the next poll. Bounds the time between two calls of
  /// mOnRecords. Thread-safe.
  void setPollWait(Millis aWait);
  /// Ends the poll in progress. No hook is called after stop() has returned.
  /// Must not be called from a hook.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

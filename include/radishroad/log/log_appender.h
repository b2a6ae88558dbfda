#ifndef RADISHROAD_LOG_LOG_APPENDER_H
#define RADISHROAD_LOG_LOG_APPENDER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"
#include "radishroad/log/backoff.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace radishroad {

/// Maximum appends per second of one daemon, retries included, and the maximum
/// size of a burst.
constexpr double kAppendsPerSecond = 20;
constexpr double kAppendBurst = 20;

/// Appends records in order from a bounded queue on its own thread. An append
/// that failed or whose response was lost is retried with the same record id
/// until its time limit; the fold drops duplicates. Whether a record took
/// effect is learned by reading the log, not from this class.
class LogAppender
{
public:
  /// Called on the appender's thread when an append has ended.
  using DoneFn = std::function<void(Result<std::uint64_t>)>;

  LogAppender(std::string aAddress, std::size_t aCapacity);
  /// aRandom provides the jitter of the backoff.
  LogAppender(std::string aAddress,
              std::size_t aCapacity,
              Backoff::RandomFn aRandom);
  ~LogAppender();
  LogAppender(const LogAppender&) = delete;
  LogAppender& operator=(const LogAppender&) = delete;

  /// Returns false if the queue is full or the appender is stopped. aDone is
  /// called exactly once for each accepted record: with the offset; with
  /// ErrorCode::Unknown if an attempt may have taken effect; with
  /// ErrorCode::Unavailable if none did; with ErrorCode::TooLarge, without
  /// retries.
  bool submit(std::string aStream,
              const wire::RecordT& aRecord,
              Millis aTimeLimit,
              DoneFn aDone);
  /// Requests the next offset of a stream, in order with the queued appends.
  /// aDone is called as for submit().
  bool probe(std::string aStream, Millis aTimeLimit, DoneFn aDone);
  /// Aborts the append in progress and all queued ones.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

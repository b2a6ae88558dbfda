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

/// Appends a second that one daemon sends at most, repeated ones included, and
/// how many of them may come at once.
constexpr double kAppendsPerSecond = 20;
constexpr double kAppendBurst = 20;

/// Appends records on a thread of its own, in order, from a bounded ring. An
/// append that failed or whose answer was lost is repeated with the same
/// record id until the time given is up; the fold drops the copies. Whether
/// the record took effect is seen by reading the log, not here.
class LogAppender
{
public:
  /// Called on the appender's thread when an append ended.
  using DoneFn = std::function<void(Result<std::uint64_t>)>;

  LogAppender(std::string aAddress, std::size_t aCapacity);
  /// aRandom is the source of the back-off's jitter.
  LogAppender(std::string aAddress,
              std::size_t aCapacity,
              Backoff::RandomFn aRandom);
  ~LogAppender();
  LogAppender(const LogAppender&) = delete;
  LogAppender& operator=(const LogAppender&) = delete;

  /// False if the ring is full or stopped. aDone is called exactly once for
  /// each record taken: with the offset; with ErrorCode::Unknown if an attempt
  /// may have taken effect; with ErrorCode::Unavailable if none did; with
  /// ErrorCode::TooLarge at once.
  bool submit(std::string aStream,
              const wire::RecordT& aRecord,
              Millis aGiveUpAfter,
              DoneFn aDone);
  /// Asks the log, in turn with the appends and on their connection, for the
  /// next offset of a stream. aDone is called as for submit.
  bool probe(std::string aStream, Millis aGiveUpAfter, DoneFn aDone);
  /// Gives up the append under way and all in the ring.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

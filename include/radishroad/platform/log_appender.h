#ifndef RADISHROAD_PLATFORM_LOG_APPENDER_H
#define RADISHROAD_PLATFORM_LOG_APPENDER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace radishroad {

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
  ~LogAppender();
  LogAppender(const LogAppender&) = delete;
  LogAppender& operator=(const LogAppender&) = delete;

  /// False if the ring is full.
  bool submit(std::string aStream,
              const wire::RecordT& aRecord,
              Millis aGiveUpAfter,
              DoneFn aDone);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

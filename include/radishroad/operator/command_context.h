#ifndef RADISHROAD_OPERATOR_COMMAND_CONTEXT_H
#define RADISHROAD_OPERATOR_COMMAND_CONTEXT_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/log/log_client.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// The external dependencies of the operator commands: log, HTTP and clock. The
/// log functions return the error codes of LogClient.
struct CommandContext
{
  std::function<Result<std::uint64_t>(std::string_view aStream,
                                      std::span<const std::uint8_t> aData)>
    mAppend;
  std::function<Result<std::vector<LogRecord>>(std::string_view aStream,
                                               std::uint64_t aFrom)>
    mRead;
  std::function<Result<LogClient::Bounds>(std::string_view aStream)> mBounds;
  /// Sends a GET request to a daemon's operator port. Thread-safe.
  std::function<Result<std::string>(const std::string& aAddress,
                                    const std::string& aPath)>
    mFetch;
  ClockFn mNow;
  std::function<void(Millis)> mSleep;
};

/// Creates a context that uses the log service at aLogAddress, libcurl and the
/// monotonic clock.
CommandContext
makeCommandContext(const std::string& aLogAddress);

}

#endif

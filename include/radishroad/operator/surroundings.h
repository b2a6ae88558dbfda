#ifndef RADISHROAD_OPERATOR_SURROUNDINGS_H
#define RADISHROAD_OPERATOR_SURROUNDINGS_H

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

/// What the operators' commands reach outside of their process. The error
/// codes of the log's functions are those of LogClient.
struct Surroundings
{
  std::function<Result<std::uint64_t>(std::string_view aStream,
                                      std::span<const std::uint8_t> aData)>
    mAppend;
  std::function<Result<std::vector<LogRecord>>(std::string_view aStream,
                                               std::uint64_t aFrom)>
    mRead;
  std::function<Result<LogClient::Bounds>(std::string_view aStream)> mBounds;
  /// GET of a page on a daemon's operator port. Any thread.
  std::function<Result<std::string>(const std::string& aAddress,
                                    const std::string& aPath)>
    mFetch;
  ClockFn mNow;
  std::function<void(Millis)> mSleep;
};

/// The real ones: the log service at an address, HTTP by libcurl.
Surroundings
makeSurroundings(const std::string& aLogAddress);

}

#endif

#ifndef RADISHROAD_LOG_LOG_CLIENT_H
#define RADISHROAD_LOG_LOG_CLIENT_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Largest record that the log takes.
constexpr std::size_t kMaxRecordBytes = 1U << 20;

/// Client of the platform's log service, by libcurl. Not thread-safe but for
/// abort(): one for each thread. The service's protocol is in
/// docs/log-service.md.
class LogClient
{
public:
  /// aAddress is "host:port".
  explicit LogClient(std::string aAddress);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// Appends one record and returns its offset. ErrorCode::Unknown if the
  /// record may have been appended all the same; ErrorCode::Unavailable if it
  /// was certainly not.
  Result<std::uint64_t> append(std::string_view aStream,
                               std::span<const std::uint8_t> aData,
                               Millis aTimeout);

  /// Reads records from aFrom on, waiting up to aWait for the first one.
  /// ErrorCode::Expired if aFrom is older than what is kept.
  Result<std::vector<LogRecord>> read(std::string_view aStream,
                                      std::uint64_t aFrom,
                                      Millis aWait,
                                      Millis aTimeout);

  /// Oldest offset kept, as the last successful read told; 0 before.
  std::uint64_t oldestSeen() const;

  struct Bounds
  {
    std::uint64_t mOldest = 0;
    std::uint64_t mNext = 0;
  };

  /// Oldest offset kept and the next to be written.
  Result<Bounds> bounds(std::string_view aStream, Millis aTimeout);

  /// Any thread. Ends the call under way, and each later one, with
  /// ErrorCode::Timeout (an append's as a failure of it would).
  void abort();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

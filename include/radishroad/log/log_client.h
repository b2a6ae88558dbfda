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

/// Size of the largest record that the log accepts.
constexpr std::size_t kMaxRecordBytes = 1U << 20;

/// Client of the platform's log service, based on libcurl. Not thread-safe
/// except for abort(); use one instance per thread. docs/log-service.md
/// describes the protocol.
class LogClient
{
public:
  /// aAddress is "host:port".
  explicit LogClient(std::string aAddress);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// Appends one record and returns its offset. Fails with ErrorCode::Unknown
  /// if the record may have been appended, and with ErrorCode::Unavailable if
  /// it was certainly not.
  Result<std::uint64_t> append(std::string_view aStream,
                               std::span<const std::uint8_t> aData,
                               Millis aTimeout);

  /// Reads records from aFrom on, waiting up to aWait for the first one. Fails
  /// with ErrorCode::Expired if aFrom is older than the oldest retained offset.
  Result<std::vector<LogRecord>> read(std::string_view aStream,
                                      std::uint64_t aFrom,
                                      Millis aWait,
                                      Millis aTimeout);

  /// Oldest retained offset as of the last successful read; 0 before the first
  /// one.
  std::uint64_t oldestOffset() const;

  struct Bounds
  {
    std::uint64_t mOldest = 0;
    std::uint64_t mNext = 0;
  };

  /// Returns the oldest retained offset and the next one to be written.
  Result<Bounds> bounds(std::string_view aStream, Millis aTimeout);

  /// Thread-safe. Ends the call in progress and each later one: a read with
  /// ErrorCode::Timeout, an append with the error of a failed append.
  void abort();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

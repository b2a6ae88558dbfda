#ifndef RADISHROAD_TOOLS_RR_LOGD_LOG_STORE_H
#define RADISHROAD_TOOLS_RR_LOGD_LOG_STORE_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishroad::tools {

/// The streams of the simulated log, in memory. Not thread-safe.
class LogStore
{
public:
  /// Keeps the newest aMaxRecords records of each stream; 0 keeps all.
  explicit LogStore(std::size_t aMaxRecords);

  struct Bounds
  {
    std::uint64_t mOldest = 0;
    std::uint64_t mNext = 0;
  };

  std::uint64_t append(const std::string& aStream,
                       std::string_view aData,
                       Millis aNow);
  Bounds bounds(const std::string& aStream) const;
  /// Deletes all records that were appended at aSince or later; their offsets
  /// are given out again.
  void dropSince(Millis aSince);
  /// Encoded records from offset aFrom on, as docs/log-service.md specifies: as
  /// many as fit into aMaxBytes, but at least one if there is any. nullopt if
  /// aFrom is below the oldest retained offset.
  std::optional<std::string> read(const std::string& aStream,
                                  std::uint64_t aFrom,
                                  std::size_t aMaxBytes) const;

private:
  struct Stream
  {
    std::uint64_t mOldest = 0;
    /// Encoded records, each with its header.
    std::deque<std::string> mRecords;
    /// When each record was appended.
    std::deque<Millis> mTimes;
  };

  std::size_t mMaxRecords;
  std::map<std::string, Stream> mStreams;
};

}

#endif

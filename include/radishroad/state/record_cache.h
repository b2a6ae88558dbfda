#ifndef RADISHROAD_STATE_RECORD_CACHE_H
#define RADISHROAD_STATE_RECORD_CACHE_H

#include "radishroad/state/records.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace radishroad {

/// Caches the newest records of a stream, without gaps, for peers that cannot
/// reach the log. Limited by record count and by bytes; the oldest records are
/// evicted first. Performs no I/O.
class RecordCache
{
public:
  static constexpr std::size_t kMaxRecords = 4096;
  static constexpr std::size_t kMaxBytes = 8U << 20;

  explicit RecordCache(std::size_t aMaxRecords = kMaxRecords,
                       std::size_t aMaxBytes = kMaxBytes);

  /// Adds records, which must be in offset order, and skips those already
  /// cached. Returns false and adds nothing if this would create a gap; call
  /// clear() to start over.
  bool add(std::span<const LogRecord> aRecords);
  void clear();

  /// Returns records starting at offset aFrom: at least one, and more as long
  /// as they fit into aMaxBytes. Empty if the record at aFrom is not cached.
  std::vector<LogRecord> get(std::uint64_t aFrom, std::size_t aMaxBytes) const;

  std::size_t size() const { return mRecords.size(); }
  /// Offset that follows the newest cached record; 0 if the cache is empty.
  std::uint64_t nextOffset() const;

private:
  void trim();

  std::size_t mMaxRecords;
  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::deque<LogRecord> mRecords;
};

}

#endif

#ifndef RADISHROAD_STATE_RECORD_CACHE_H
#define RADISHROAD_STATE_RECORD_CACHE_H

#include "radishroad/state/records.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace radishroad {

/// The newest records of a stream, without gaps, for peers that are cut off
/// from the log. Bounded by number and by bytes; the oldest go first. Pure.
class RecordCache
{
public:
  static constexpr std::size_t kMaxRecords = 4096;
  static constexpr std::size_t kMaxBytes = 8U << 20;

  explicit RecordCache(std::size_t aMaxRecords = kMaxRecords,
                       std::size_t aMaxBytes = kMaxBytes);

  /// Adds records in offset order and passes over those that are there.
  /// False, with nothing added, if a gap would arise; clear() starts anew.
  bool add(std::span<const LogRecord> aRecords);
  void clear();

  /// Records from aFrom on: at least one, and further ones up to aMaxBytes.
  /// Empty if the record at aFrom is not held.
  std::vector<LogRecord> get(std::uint64_t aFrom, std::size_t aMaxBytes) const;

  std::size_t size() const { return mRecords.size(); }
  /// Offset after the newest record; 0 if empty.
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

#include "radishroad/state/record_cache.h"

namespace radishroad {

namespace {

/// True if the offsets of the records are consecutive.
bool
isContiguous(std::span<const LogRecord> aRecords)
{
  for (std::size_t i = 1; i < aRecords.size(); ++i) {
    if (aRecords[i].mOffset != aRecords[i - 1].mOffset + 1) {
      return false;
    }
  }
  return true;
}

}

RecordCache::RecordCache(std::size_t aMaxRecords, std::size_t aMaxBytes)
  : mMaxRecords(aMaxRecords)
  , mMaxBytes(aMaxBytes)
{
}

bool
RecordCache::add(std::span<const LogRecord> aRecords)
{
  const bool gap =
    !isContiguous(aRecords) || (!mRecords.empty() && !aRecords.empty() &&
                                aRecords.front().mOffset > nextOffset());
  if (gap) {
    return false;
  }
  for (const LogRecord& record : aRecords) {
    if (mRecords.empty() || record.mOffset == nextOffset()) {
      mRecords.push_back(record);
      mBytes += record.mData.size();
    }
  }
  trim();
  return true;
}

void
RecordCache::clear()
{
  mRecords.clear();
  mBytes = 0;
}

std::vector<LogRecord>
RecordCache::get(std::uint64_t aFrom, std::size_t aMaxBytes) const
{
  std::vector<LogRecord> records;
  if (mRecords.empty() || aFrom < mRecords.front().mOffset) {
    return records;
  }
  std::size_t bytes = 0;
  for (std::size_t i = aFrom - mRecords.front().mOffset; i < mRecords.size();
       ++i) {
    bytes += mRecords[i].mData.size();
    if (!records.empty() && bytes > aMaxBytes) {
      break;
    }
    records.push_back(mRecords[i]);
  }
  return records;
}

std::uint64_t
RecordCache::nextOffset() const
{
  return mRecords.empty() ? 0 : mRecords.back().mOffset + 1;
}

void
RecordCache::trim()
{
  while (mRecords.size() > mMaxRecords ||
         (mBytes > mMaxBytes && mRecords.size() > 1)) {
    mBytes -= mRecords.front().mData.size();
    mRecords.pop_front();
  }
}

}

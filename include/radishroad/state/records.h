#ifndef RADISHROAD_STATE_RECORDS_H
#define RADISHROAD_STATE_RECORDS_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"
#include "radishroad/generated/records_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

using Bytes = std::vector<std::uint8_t>;

/// One record as stored in the log.
struct LogRecord
{
  std::uint64_t mOffset = 0;
  Millis mWallTime;
  Bytes mData;
};

/// Name of the stream of configuration records.
constexpr std::string_view kConfigStream = "config";

/// Returns the stream name of a service's cell.
std::string
cellStream(std::string_view aService);

/// Wraps a change (a wire::...T type of the Change union) in a record with the
/// given id and time.
template<typename Change>
wire::RecordT
makeRecord(Change aChange, RandomId aId, Millis aWallTime)
{
  wire::RecordT record;
  record.id_high = aId.mHigh;
  record.id_low = aId.mLow;
  record.wall_ms = aWallTime.mCount;
  record.change.Set(std::move(aChange));
  return record;
}

Bytes
encodeRecord(const wire::RecordT& aRecord);

/// Verifies and unpacks a record. Returns ErrorCode::Corrupt if the bytes are
/// not a valid record.
Result<std::unique_ptr<wire::RecordT>>
decodeRecord(std::span<const std::uint8_t> aBytes);

}

#endif

#include "radishroad/log/read_body.h"

#include <flatbuffers/base.h>

namespace radishroad {

namespace {

constexpr std::size_t kOffsetAt = 0;
constexpr std::size_t kWallTimeAt = 8;
constexpr std::size_t kLengthAt = 16;
constexpr std::size_t kHeaderBytes = 20;

template<typename T>
T
readLittleEndian(std::string_view aBytes, std::size_t aAt)
{
  return flatbuffers::ReadScalar<T>(aBytes.data() + aAt);
}

}

Result<std::vector<LogRecord>>
parseReadBody(std::string_view aBody, std::uint64_t aFrom)
{
  std::vector<LogRecord> records;
  while (!aBody.empty()) {
    if (aBody.size() < kHeaderBytes) {
      return fail(ErrorCode::Corrupt, "read ends inside a record's header");
    }
    LogRecord record;
    record.mOffset = readLittleEndian<std::uint64_t>(aBody, kOffsetAt);
    record.mWallTime.mCount =
      readLittleEndian<std::int64_t>(aBody, kWallTimeAt);
    const std::size_t length =
      readLittleEndian<std::uint32_t>(aBody, kLengthAt);
    if (aBody.size() - kHeaderBytes < length) {
      return fail(ErrorCode::Corrupt, "read ends inside a record");
    }
    if (record.mOffset != aFrom + records.size()) {
      return fail(ErrorCode::Corrupt, "read with a gap in its offsets");
    }
    const std::string_view data = aBody.substr(kHeaderBytes, length);
    record.mData.assign(data.begin(), data.end());
    records.push_back(std::move(record));
    aBody.remove_prefix(kHeaderBytes + length);
  }
  return records;
}

}

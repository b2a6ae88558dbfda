#include "radishroad/log/read_body.h"

#include <flatbuffers/base.h>

namespace radishroad {

namespace {

constexpr std::size_t kOffsetPosition = 0;
constexpr std::size_t kWallTimePosition = 8;
constexpr std::size_t kLengthPosition = 16;
constexpr std::size_t kHeaderBytes = 20;

template<typename T>
T
readLittleEndian(std::string_view aBytes, std::size_t aPosition)
{
  return flatbuffers::ReadScalar<T>(aBytes.data() + aPosition);
}

}

Result<std::vector<LogRecord>>
parseReadBody(std::string_view aBody, std::uint64_t aFrom)
{
  std::vector<LogRecord> records;
  while (!aBody.empty()) {
    if (aBody.size() < kHeaderBytes) {
      return fail(ErrorCode::Corrupt,
                  "read response is truncated in a record header");
    }
    LogRecord record;
    record.mOffset = readLittleEndian<std::uint64_t>(aBody, kOffsetPosition);
    record.mWallTime.mCount =
      readLittleEndian<std::int64_t>(aBody, kWallTimePosition);
    const std::size_t length =
      readLittleEndian<std::uint32_t>(aBody, kLengthPosition);
    if (aBody.size() - kHeaderBytes < length) {
      return fail(ErrorCode::Corrupt, "read response is truncated in a record");
    }
    if (record.mOffset != aFrom + records.size()) {
      return fail(ErrorCode::Corrupt, "read response has a gap in its offsets");
    }
    const std::string_view data = aBody.substr(kHeaderBytes, length);
    record.mData.assign(data.begin(), data.end());
    records.push_back(std::move(record));
    aBody.remove_prefix(kHeaderBytes + length);
  }
  return records;
}

}

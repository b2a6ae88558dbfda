#include "rr-logd/log_store.h"

namespace radishroad::tools {

namespace {

void
putLittleEndian(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  constexpr unsigned kByteBits = 8;
  constexpr unsigned kByteMask = 0xFF;
  for (int i = 0; i < aBytes; ++i) {
    aOut.push_back(static_cast<char>(aValue & kByteMask));
    aValue >>= kByteBits;
  }
}

}

LogStore::LogStore(std::size_t aMaxRecords)
  : mMaxRecords(aMaxRecords)
{
}

std::uint64_t
LogStore::append(const std::string& aStream,
                 std::string_view aData,
                 Millis aNow)
{
  Stream& stream = mStreams[aStream];
  const std::uint64_t offset = stream.mOldest + stream.mRecords.size();
  std::string record;
  putLittleEndian(record, offset, 8);
  putLittleEndian(record, static_cast<std::uint64_t>(aNow.mCount), 8);
  putLittleEndian(record, aData.size(), 4);
  record.append(aData);
  stream.mRecords.push_back(std::move(record));
  stream.mTimes.push_back(aNow);
  if (mMaxRecords > 0 && stream.mRecords.size() > mMaxRecords) {
    stream.mRecords.pop_front();
    stream.mTimes.pop_front();
    ++stream.mOldest;
  }
  return offset;
}

void
LogStore::dropSince(Millis aSince)
{
  for (auto& [name, stream] : mStreams) {
    while (!stream.mTimes.empty() && stream.mTimes.back() >= aSince) {
      stream.mTimes.pop_back();
      stream.mRecords.pop_back();
    }
  }
}

LogStore::Bounds
LogStore::bounds(const std::string& aStream) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return {};
  }
  const Stream& stream = it->second;
  return { stream.mOldest, stream.mOldest + stream.mRecords.size() };
}

std::optional<std::string>
LogStore::read(const std::string& aStream,
               std::uint64_t aFrom,
               std::size_t aMaxBytes) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return std::string();
  }
  const Stream& stream = it->second;
  if (aFrom < stream.mOldest) {
    return std::nullopt;
  }
  std::string body;
  for (std::size_t i = aFrom - stream.mOldest; i < stream.mRecords.size();
       ++i) {
    const std::string& record = stream.mRecords[i];
    if (!body.empty() && body.size() + record.size() > aMaxBytes) {
      break;
    }
    body.append(record);
  }
  return body;
}

}

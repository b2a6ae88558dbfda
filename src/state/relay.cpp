#include "radishroad/state/relay.h"

namespace radishroad {

wire::RelayRecordsT
makeRelayFrame(std::string_view aStream, std::span<const LogRecord> aRecords)
{
  wire::RelayRecordsT frame;
  frame.stream = aStream;
  for (const LogRecord& record : aRecords) {
    frame.records.push_back(std::make_unique<wire::RelayedRecordT>());
    wire::RelayedRecordT& relayed = *frame.records.back();
    relayed.offset = record.mOffset;
    relayed.wall_ms = record.mWallTime.mCount;
    relayed.data = record.mData;
  }
  return frame;
}

std::vector<LogRecord>
relayedRecords(const wire::RelayRecordsT& aFrame)
{
  std::vector<LogRecord> records;
  records.reserve(aFrame.records.size());
  for (const std::unique_ptr<wire::RelayedRecordT>& relayed : aFrame.records) {
    records.push_back(
      { relayed->offset, Millis{ relayed->wall_ms }, relayed->data });
  }
  return records;
}

}

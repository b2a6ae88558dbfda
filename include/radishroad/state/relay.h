#ifndef RADISHROAD_STATE_RELAY_H
#define RADISHROAD_STATE_RELAY_H

#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/records.h"

#include <span>
#include <string_view>
#include <vector>

namespace radishroad {

/// Maximum bytes of record data in one RelayRecords frame. A single larger
/// record is sent in a frame of its own.
constexpr std::size_t kMaxRelayBytes = 1U << 20;

/// Builds the frame that sends records of a stream to a peer.
wire::RelayRecordsT
makeRelayFrame(std::string_view aStream, std::span<const LogRecord> aRecords);

/// Returns the records of a RelayRecords frame in frame order.
std::vector<LogRecord>
relayedRecords(const wire::RelayRecordsT& aFrame);

}

#endif

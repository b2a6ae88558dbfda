#ifndef RADISHROAD_STATE_RELAY_H
#define RADISHROAD_STATE_RELAY_H

#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/records.h"

#include <span>
#include <string_view>
#include <vector>

namespace radishroad {

/// Bytes of record data in one RelayRecords frame, but for a single record
/// that is larger.
constexpr std::size_t kMaxRelayBytes = 1U << 20;

/// The frame that passes records of a stream on to a peer.
wire::RelayRecordsT
makeRelayFrame(std::string_view aStream, std::span<const LogRecord> aRecords);

/// The records of such a frame, in its order.
std::vector<LogRecord>
relayedRecords(const wire::RelayRecordsT& aFrame);

}

#endif

#ifndef RADISHROAD_PEER_SEND_TOTALS_H
#define RADISHROAD_PEER_SEND_TOTALS_H

#include <atomic>
#include <cstdint>

namespace radishroad {

/// Bytes that a group of connections has sent. Thread-safe.
struct SendTotals
{
  /// Queued since the start, without those that were dropped when a connection
  /// closed.
  std::atomic<std::uint64_t> mQueued = 0;
  std::atomic<std::uint64_t> mWritten = 0;
};

}

#endif

#ifndef RADISHROAD_STATE_SNAPSHOT_H
#define RADISHROAD_STATE_SNAPSHOT_H

#include "radishroad/base/error.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/records.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// Data bytes in one chunk record: below the log's record limit of 1 MiB, and
/// small enough not to delay other appends.
constexpr std::size_t kSnapshotChunkBytes = 256U << 10;
constexpr std::size_t kMaxSnapshotChunks = 4096;
constexpr std::size_t kMaxSnapshotBytes = 64U << 20;
/// Maximum number of incomplete snapshots a reader buffers; the oldest is
/// evicted first.
constexpr std::size_t kMaxPendingSnapshots = 8;

/// Splits an encoded state into chunks of at most aChunkBytes of data each.
/// Returns no chunks for a state to which no record has been folded.
std::vector<wire::SnapshotChunkT>
makeSnapshot(const CellState& aState, std::size_t aChunkBytes);

std::vector<wire::SnapshotChunkT>
makeSnapshot(const ConfigState& aState, std::size_t aChunkBytes);

/// Reassembles snapshots from their chunks. Returns a state once all chunks of
/// a snapshot have been added and its checksum matches. Chunks of several
/// writers may be interleaved; an incomplete snapshot is never returned.
template<typename State>
class SnapshotReader
{
public:
  /// Adds a chunk; returns the decoded state if the chunk completes a snapshot.
  std::optional<State> add(const wire::SnapshotChunkT& aChunk);

private:
  struct Parts
  {
    std::uint32_t mCount = 0;
    std::size_t mBytes = 0;
    std::map<std::uint32_t, std::vector<std::uint8_t>> mData;
  };
  static std::optional<State> assemble(const Parts& aParts,
                                       const wire::SnapshotChunkT& aChunk);
  void evictOldest();

  /// Incomplete snapshots by offset and checksum.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Parts> mPending;
};

}

#endif

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

/// Size of the data in one chunk record: below the log's bound of 1 MiB, and
/// small enough that a chunk does not hold up other appends.
constexpr std::size_t kSnapshotChunkBytes = 256U << 10;
constexpr std::size_t kMaxSnapshotChunks = 4096;
constexpr std::size_t kMaxSnapshotBytes = 64U << 20;
/// Incomplete snapshots that a reader holds; the oldest goes first.
constexpr std::size_t kMaxPendingSnapshots = 8;

/// Splits a state into chunk records of at most aChunkBytes of data each.
/// Empty for a state that has folded nothing.
std::vector<wire::SnapshotChunkT>
makeSnapshot(const CellState& aState, std::size_t aChunkBytes);

std::vector<wire::SnapshotChunkT>
makeSnapshot(const ConfigState& aState, std::size_t aChunkBytes);

/// Collects the chunks of snapshots as they are read and yields a state once
/// all chunks of one are there and the checksum holds. Chunks of several
/// writers may be interleaved; a torn snapshot yields nothing.
template<typename State>
class SnapshotReader
{
public:
  /// The newest whole snapshot that this chunk completes, if any.
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

  /// By offset and checksum.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Parts> mPending;
};

}

#endif

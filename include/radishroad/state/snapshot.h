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

/// Splits a state into chunk records of at most aChunkBytes of data each.
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
    std::map<std::uint32_t, std::vector<std::uint8_t>> mData;
  };
  /// By offset and checksum.
  std::map<std::pair<std::uint64_t, std::uint64_t>, Parts> mPending;
};

}

#endif

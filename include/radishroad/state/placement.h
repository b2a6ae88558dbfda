#ifndef RADISHROAD_STATE_PLACEMENT_H
#define RADISHROAD_STATE_PLACEMENT_H

#include "radishroad/state/cell_state.h"

#include <span>
#include <string_view>

namespace radishroad {

/// True if the member may be given shards: active, not superseded, and neither
/// its VM nor its availability zone is drained.
bool
mayOwn(const CellState& aState, Incarnation aIncarnation);

/// Does the member own a shard or a split key?
bool
ownsAny(const CellState& aState, Incarnation aIncarnation);

/// The member that takes over a shard of aFrom: of those that may own, the
/// least loaded by shard count, ties by rendezvous hash. 0 if none.
Incarnation
selectNewOwner(const CellState& aState, Shard aShard, Incarnation aFrom);

/// Up to aCount members of aCandidates as witnesses for aIncarnation: other
/// availability zones first, then by rendezvous hash. Members that are not
/// active or are superseded are passed over.
std::vector<Incarnation>
chooseWitnesses(std::span<const Member> aCandidates,
                Incarnation aIncarnation,
                std::string_view aZone,
                std::size_t aCount);

}

#endif

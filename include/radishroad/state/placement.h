#ifndef RADISHROAD_STATE_PLACEMENT_H
#define RADISHROAD_STATE_PLACEMENT_H

#include "radishroad/state/cell_state.h"

#include <span>
#include <string_view>

namespace radishroad {

/// True if the member is eligible to receive shards and split keys: it is
/// active, not leaving and not superseded, its upstream accepts requests, and
/// neither its VM nor its availability zone is drained.
bool
isEligibleOwner(const CellState& aState, Incarnation aIncarnation);

/// True if the member owns a shard or a split key.
bool
ownsAny(const CellState& aState, Incarnation aIncarnation);

/// Selects the member that takes over a shard of aFrom: the eligible member
/// with the fewest shards and split keys; ties are broken by rendezvous hash.
/// 0 if there is none.
Incarnation
selectNewOwner(const CellState& aState, Shard aShard, Incarnation aFrom);

/// Selects up to aCount of aCandidates as witnesses for aIncarnation. Members
/// of other availability zones come first, then the order is by rendezvous
/// hash. Members that are inactive or superseded are skipped.
std::vector<Incarnation>
chooseWitnesses(std::span<const Member> aCandidates,
                Incarnation aIncarnation,
                std::string_view aZone,
                std::size_t aCount);

}

#endif

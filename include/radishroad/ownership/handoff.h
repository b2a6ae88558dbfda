#ifndef RADISHROAD_OWNERSHIP_HANDOFF_H
#define RADISHROAD_OWNERSHIP_HANDOFF_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <span>
#include <vector>

namespace radishroad {

/// The planning functions below assign nothing to the members in aAvoid: those
/// that do not answer the daemon although the log still lists them as active.

/// The next shards that a draining owner hands off, each with its new owner: at
/// most aMax, spread evenly over the members that may own shards. Empty if no
/// member can take them.
std::vector<wire::ShardGrant>
planEvacuation(const CellState& aState,
               Incarnation aSelf,
               std::size_t aMax,
               std::span<const Incarnation> aAvoid = {});

/// The next split keys that a draining owner hands off, at most aMax. Each move
/// is a record of its own.
std::vector<wire::SplitKeyT>
planSplitKeyEvacuation(const CellState& aState,
                       Incarnation aSelf,
                       std::size_t aMax,
                       std::span<const Incarnation> aAvoid = {});

/// Assigns the shards without an owner, spread evenly over the members that may
/// own shards. Used for the coordinator's Assign record.
std::vector<wire::ShardGrant>
planInitialAssignment(const CellState& aState,
                      std::span<const Incarnation> aAvoid = {});

/// Whether no shard has an owner yet while an active member still waits for the
/// first report of its upstream.
///
/// When all daemons of a cell start at once, their upstreams report one after
/// the other. If all shards were assigned to the first members that are ready,
/// most of them would move again under traffic.
bool
awaitsFirstReports(const CellState& aState);

/// Reserves capacity for a shard on a member; returns false if the member has
/// too little left.
using ReserveShardFn = std::function<bool(Shard, Incarnation)>;

/// The smallest set of moves after which the shard counts of the members differ
/// by at most one; limited to aMax moves and to those that aReserve allows.
/// Used for members that joined or returned.
std::vector<wire::ShardGrant>
planRebalance(const CellState& aState,
              std::size_t aMax,
              std::span<const Incarnation> aAvoid = {},
              const ReserveShardFn& aReserve = {});

}

#endif

#ifndef RADISHROAD_OWNERSHIP_HANDOFF_H
#define RADISHROAD_OWNERSHIP_HANDOFF_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <span>
#include <vector>

namespace radishroad {

/// The plans pass over the members of aAvoid: those that the daemon knows not
/// to answer, though the log still has them as active.

/// Shards that a draining owner hands off next, each with its next owner: at
/// most aMax, spread evenly over the members that may own. Empty if there is no
/// one to take them.
std::vector<wire::ShardGrant>
planEvacuation(const CellState& aState,
               Incarnation aSelf,
               std::size_t aMax,
               std::span<const Incarnation> aAvoid = {});

/// Split keys that a draining owner hands on next, at most aMax; each is a
/// record of its own.
std::vector<wire::SplitKeyT>
planKeyEvacuation(const CellState& aState,
                  Incarnation aSelf,
                  std::size_t aMax,
                  std::span<const Incarnation> aAvoid = {});

/// Shards without an owner, spread over the members that may own. For the
/// coordinator's Assign record.
std::vector<wire::ShardGrant>
planInitialAssignment(const CellState& aState,
                      std::span<const Incarnation> aAvoid = {});

/// No shard has an owner yet, and an active member has still to hear from its
/// upstream for the first time.
///
/// Load pattern: all daemons of a cell start at once, and their upstreams
/// report one after the other. Who gave all shards to those that were first
/// would move most of them again while the traffic comes. Pure.
bool
awaitsFirstReports(const CellState& aState);

/// Takes a shard's load out of what the member bears; false if it bears no
/// more.
using TakeShardFn = std::function<bool(Shard, Incarnation)>;

/// Fewest moves that bring the counts of shards within one of each other;
/// at most aMax of them, and only such as aTake allows. For members that
/// joined or came back.
std::vector<wire::ShardGrant>
planEvenSpread(const CellState& aState,
               std::size_t aMax,
               std::span<const Incarnation> aAvoid = {},
               const TakeShardFn& aTake = {});

}

#endif

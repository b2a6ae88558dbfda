#ifndef RADISHROAD_STATE_FOLD_RULES_H
#define RADISHROAD_STATE_FOLD_RULES_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>

namespace radishroad::rules {

/// The rule of each change in a cell: true if the precondition held and the
/// change was made, else the state is as before. For fold() alone.

bool
apply(CellState& aState, const wire::JoinT& aChange, std::uint64_t aOffset);

bool
apply(CellState& aState, const wire::RewitnessT& aChange);

/// The member's shards and split keys go to their heirs in the same step, so
/// that a takeover costs one append.
bool
apply(CellState& aState, const wire::ExpelT& aChange, std::uint64_t aOffset);

bool
apply(CellState& aState, const wire::BeginLeaveT& aChange);

bool
apply(CellState& aState, const wire::LeaveT& aChange, std::uint64_t aOffset);

bool
apply(CellState& aState,
      const wire::DeclareLostT& aChange,
      std::uint64_t aOffset);

bool
apply(CellState& aState, const wire::DrainT& aChange);

bool
apply(CellState& aState, const wire::ZonesOutT& aChange);

bool
apply(CellState& aState, const wire::UpstreamChangeT& aChange);
bool
apply(CellState& aState, const wire::AssignT& aChange);

bool
apply(CellState& aState, const wire::ReleaseT& aChange);

bool
apply(CellState& aState, const wire::SplitKeyT& aChange);

/// Gives split keys that lost their owner when nobody could take them over a
/// new one, once there is a member that may own. Shards wait for an Assign.
void
assignOwnerlessSplitKeys(CellState& aState);

/// Moves all that aFrom owns to heirs, each with the next epoch.
void
redistributeOwnership(CellState& aState, Incarnation aFrom);
/// Moves all that aFrom owns to aTo, each with the next epoch. aTo may be
/// aFrom.
void
transferOwnership(CellState& aState, Incarnation aFrom, Incarnation aTo);

}

#endif

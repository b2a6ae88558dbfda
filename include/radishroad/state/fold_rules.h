#ifndef RADISHROAD_STATE_FOLD_RULES_H
#define RADISHROAD_STATE_FOLD_RULES_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>

namespace radishroad::rules {

/// One apply() for each kind of change to a cell. Returns true if the
/// preconditions held and the change was made; otherwise the state is
/// unchanged. Called by fold() only.

bool
apply(CellState& aState, const wire::JoinT& aChange, std::uint64_t aOffset);

bool
apply(CellState& aState, const wire::RewitnessT& aChange);

/// Also reassigns the member's shards and split keys to new owners, so that a
/// takeover needs only one append.
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
apply(CellState& aState, const wire::RolloutStepT& aChange);

bool
apply(CellState& aState, const wire::AssignT& aChange);

bool
apply(CellState& aState, const wire::ReleaseT& aChange);

bool
apply(CellState& aState, const wire::SplitKeyT& aChange);

/// Assigns owners to split keys that have none because no member was eligible
/// when they lost theirs. Does nothing while no member is eligible. Shards
/// without an owner are assigned by an Assign record instead.
void
assignOwnerlessSplitKeys(CellState& aState);

/// Reassigns everything that aFrom owns to other members, each item at its next
/// epoch. Items get no owner if no other member is eligible.
void
redistributeOwnership(CellState& aState, Incarnation aFrom);
/// Transfers everything that aFrom owns to aTo, each item at its next epoch. If
/// aTo is aFrom, only the epochs change.
void
transferOwnership(CellState& aState, Incarnation aFrom, Incarnation aTo);

}

#endif

#ifndef RADISHROAD_OWNERSHIP_OWNERSHIP_CHANGE_H
#define RADISHROAD_OWNERSHIP_OWNERSHIP_CHANGE_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishroad {

/// A change of the owner of a shard or of a split key. A split key that was
/// merged back into its shard counts as a change to the shard's owner.
struct OwnershipChange
{
  Shard mShard = 0;
  /// Set for a split key, which has an epoch and an owner of its own.
  std::optional<std::uint64_t> mKeyHash;
  Incarnation mFrom = 0;
  Incarnation mTo = 0;
  Epoch mEpoch = 0;
  /// The key was split out of its shard by this change.
  bool mNewSplit = false;
  /// The previous owner handed over after its last request had ended. False if
  /// it was expelled or declared lost, or if this cannot be determined.
  bool mPlanned = false;
};

/// Returns the ownership changes between two states of a cell. Exact for states
/// one record apart. Over several records a change counts as planned only if it
/// is a single change.
std::vector<OwnershipChange>
ownershipChanges(const CellState& aBefore, const CellState& aAfter);

}

#endif

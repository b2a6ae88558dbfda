#ifndef RADISHROAD_OWNERSHIP_OWNERSHIP_CHANGE_H
#define RADISHROAD_OWNERSHIP_OWNERSHIP_CHANGE_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishroad {

/// A shard, or a split key, that has another owner than before. A key that was
/// merged into its shard counts as one, with the shard's owner as the new one.
struct OwnershipChange
{
  Shard mShard = 0;
  /// Set for a split key, which has an epoch and an owner apart.
  std::optional<std::uint64_t> mKeyHash;
  Incarnation mFrom = 0;
  Incarnation mTo = 0;
  Epoch mEpoch = 0;
  /// The key had no owner apart from its shard's before.
  bool mNewSplit = false;
  /// The owner before handed over, after its last request had ended. False if
  /// it was expelled or declared lost, or if that cannot be told.
  bool mPlanned = false;
};

/// What changed from one state of a cell to a later one. Exact for states one
/// record apart; over several records a change counts as planned only if it
/// is a single one.
std::vector<OwnershipChange>
ownershipChanges(const CellState& aBefore, const CellState& aAfter);

}

#endif

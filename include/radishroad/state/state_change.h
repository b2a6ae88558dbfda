#ifndef RADISHROAD_STATE_STATE_CHANGE_H
#define RADISHROAD_STATE_STATE_CHANGE_H

#include "radishroad/state/cell_state.h"
#include "radishroad/state/fold.h"
#include "radishroad/state/records.h"

#include <span>
#include <vector>

namespace radishroad {

/// Result of folding proposed records onto a state.
struct StateChange
{
  CellState mState;
  /// One verdict per record, in record order.
  std::vector<FoldVerdict> mVerdicts;
  /// True if at least one record was applied.
  bool mChanged = false;
};

/// Folds encoded records onto a state that is stored as a full state instead of
/// as a stream of records. Only the newest record ids are retained, because the
/// stored state is read and written often. A writer that did not get the answer
/// can determine by these ids whether its records were applied. Performs no
/// I/O.
StateChange
applyRecords(const CellState& aState, std::span<const Bytes> aRecords);

}

#endif

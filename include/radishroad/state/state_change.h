#ifndef RADISHROAD_STATE_STATE_CHANGE_H
#define RADISHROAD_STATE_STATE_CHANGE_H

#include "radishroad/state/cell_state.h"
#include "radishroad/state/fold.h"
#include "radishroad/state/records.h"

#include <span>
#include <vector>

namespace radishroad {

/// What became of proposed records when they were folded onto a state.
struct StateChange
{
  CellState mState;
  /// One for each record, in their order.
  std::vector<FoldVerdict> mVerdicts;
  /// False if no record changed anything that others need to know.
  bool mChanged = false;
};

/// Folds encoded records onto a state that is kept whole. Only the newest
/// record ids are kept in it: they tell a writer whose answer was lost what
/// became of its records, and a kept state is read and written often. Pure.
StateChange
applyRecords(const CellState& aState, std::span<const Bytes> aRecords);

}

#endif

#ifndef RADISHROAD_STATE_FOLD_H
#define RADISHROAD_STATE_FOLD_H

#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/records.h"

namespace radishroad {

enum class FoldVerdict
{
  Applied,
  /// Its precondition did not hold; the state is as before.
  Refused,
  /// Its id had been folded before.
  Duplicate,
  /// Not a record, or one of an unknown kind.
  Corrupt,
  /// Belongs to the other kind of stream, is a snapshot part, or is not at
  /// the offset that comes next.
  Ignored,
};

/// Folds one record into a cell's state. Deterministic; any daemon that folds
/// the same records holds the same state. mNextOffset moves on in every case
/// but one: a record at any other offset changes nothing. Below mNextOffset it
/// has been folded; above, records are missing, and the caller has to fetch
/// them or load a snapshot (StreamLoader).
///
/// A list of grants is applied whole or not at all.
FoldVerdict
fold(CellState& aState, const LogRecord& aRecord);

FoldVerdict
fold(ConfigState& aState, const LogRecord& aRecord);

}

#endif

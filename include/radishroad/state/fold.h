#ifndef RADISHROAD_STATE_FOLD_H
#define RADISHROAD_STATE_FOLD_H

#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/records.h"

namespace radishroad {

enum class FoldVerdict
{
  Applied,
  /// A precondition did not hold; the state is unchanged except for the offset
  /// and the record id.
  Refused,
  /// A record with the same id was folded earlier.
  Duplicate,
  /// Not a valid record, or of an unknown kind.
  Corrupt,
  /// The record belongs to the other kind of stream, is a snapshot chunk, or is
  /// not at the next offset.
  Ignored,
};

/// Applies one record to the state. Deterministic: all daemons that fold the
/// same records reach the same state. A record at mNextOffset always advances
/// mNextOffset, whatever the verdict. A record at any other offset changes
/// nothing: at a lower offset it was folded before; at a higher offset records
/// are missing, and the caller has to fetch them or load a snapshot
/// (StreamLoader).
///
/// The grants of one record are applied either all or none.
FoldVerdict
fold(CellState& aState, const LogRecord& aRecord);

FoldVerdict
fold(ConfigState& aState, const LogRecord& aRecord);

}

#endif

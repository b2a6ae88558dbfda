#include "radishroad/state/state_change.h"

#include <algorithm>
#include <utility>

namespace radishroad {

namespace {

/// Maximum number of record ids in a stored state: more than the records with
/// unknown outcome that all writers of a cell have at any time.
constexpr std::size_t kMaxStoredIds = 64;

void
dropOldIds(CellState& aState)
{
  const std::deque<RandomId>& all = aState.mSeenIds.inOrder();
  if (all.size() <= kMaxStoredIds) {
    return;
  }
  RecentIds newest;
  const std::size_t first = all.size() - kMaxStoredIds;
  for (std::size_t n = first; n < all.size(); ++n) {
    newest.add(all[n]);
  }
  aState.mSeenIds = std::move(newest);
}

}

StateChange
applyRecords(const CellState& aState, std::span<const Bytes> aRecords)
{
  StateChange change;
  change.mState = aState;
  for (const Bytes& data : aRecords) {
    CellState next = change.mState;
    LogRecord record;
    record.mOffset = next.mNextOffset;
    record.mData = data;
    const FoldVerdict verdict = fold(next, record);
    change.mVerdicts.push_back(verdict);
    if (verdict == FoldVerdict::Applied) {
      change.mState = std::move(next);
      change.mChanged = true;
    }
  }
  dropOldIds(change.mState);
  return change;
}

}

#include "radishroad/state/state_change.h"

#include <algorithm>
#include <utility>

namespace radishroad {

namespace {

/// Record ids kept in a state: more than all writers of a cell have in doubt
/// at one time.
constexpr std::size_t kKeptIds = 64;

void
keepNewestIds(CellState& aState)
{
  const std::deque<RandomId>& all = aState.mSeenIds.inOrder();
  if (all.size() <= kKeptIds) {
    return;
  }
  RecentIds newest;
  const std::size_t first = all.size() - kKeptIds;
  for (std::size_t n = first; n < all.size(); ++n) {
    newest.add(all[n]);
  }
  aState.mSeenIds = std::move(newest);
}

}

StateChange
changeState(const CellState& aState, std::span<const Bytes> aRecords)
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
  keepNewestIds(change.mState);
  return change;
}

}

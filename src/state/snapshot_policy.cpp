#include "radishroad/state/snapshot_policy.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Records that may follow a snapshot before the next is due.
std::uint64_t
recordBound(const SnapshotSituation& aSituation)
{
  if (aSituation.mOldestKept == 0) {
    return kSnapshotEveryRecords;
  }
  const std::uint64_t kept =
    aSituation.mNextOffset -
    std::min(aSituation.mNextOffset, aSituation.mOldestKept);
  return std::clamp(
    kept / kRetentionShare, kSnapshotMinRecords, kSnapshotEveryRecords);
}

}

bool
snapshotDue(const SnapshotSituation& aSituation, Millis aNow)
{
  if (aSituation.mNextOffset == 0) {
    return false;
  }
  if (!aSituation.mLastAsOf) {
    // Once records have expired, a fresh daemon has nothing to start from.
    return aSituation.mOldestKept > 0 ||
           aSituation.mNextOffset >= recordBound(aSituation);
  }
  const std::uint64_t snapshotNext = *aSituation.mLastAsOf + 1;
  if (aSituation.mOldestKept > snapshotNext) {
    return true;
  }
  const std::uint64_t folded =
    aSituation.mNextOffset - std::min(aSituation.mNextOffset, snapshotNext);
  return folded >= recordBound(aSituation) ||
         aNow - aSituation.mLastWallTime >= kSnapshotEvery;
}

}

#include "radishroad/state/snapshot_policy.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Number of records after a snapshot at which the next one is due.
std::uint64_t
maxRecordsSinceSnapshot(const SnapshotPolicyInput& aInput)
{
  if (aInput.mOldestRetained == 0) {
    return kSnapshotIntervalRecords;
  }
  const std::uint64_t retained =
    aInput.mNextOffset - std::min(aInput.mNextOffset, aInput.mOldestRetained);
  return std::clamp(retained / kRetentionDivisor,
                    kSnapshotMinRecords,
                    kSnapshotIntervalRecords);
}

}

bool
isSnapshotDue(const SnapshotPolicyInput& aInput, Millis aNow)
{
  if (aInput.mNextOffset == 0) {
    return false;
  }
  if (!aInput.mLastSnapshotOffset) {
    // Once records have expired, a new daemon cannot build the state without a
    // snapshot.
    return aInput.mOldestRetained > 0 ||
           aInput.mNextOffset >= maxRecordsSinceSnapshot(aInput);
  }
  const std::uint64_t snapshotNext = *aInput.mLastSnapshotOffset + 1;
  if (aInput.mOldestRetained > snapshotNext) {
    return true;
  }
  const std::uint64_t recordsSinceSnapshot =
    aInput.mNextOffset - std::min(aInput.mNextOffset, snapshotNext);
  return recordsSinceSnapshot >= maxRecordsSinceSnapshot(aInput) ||
         aNow - aInput.mLastSnapshotWallTime >= kSnapshotInterval;
}

}

#ifndef RADISHROAD_STATE_SNAPSHOT_POLICY_H
#define RADISHROAD_STATE_SNAPSHOT_POLICY_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>

namespace radishroad {

/// Maximum number of records, and maximum time, between two snapshots. The
/// number of records is lower if the log retains only few records.
constexpr std::uint64_t kSnapshotIntervalRecords = 1024;
constexpr Millis kSnapshotInterval{ 300000 };
/// The next snapshot is due once the records after the newest snapshot exceed
/// the retained records divided by this value.
constexpr std::uint64_t kRetentionDivisor = 4;
/// Minimum number of new records that can make a snapshot due. Without it, the
/// chunk records of one snapshot could trigger the next.
constexpr std::uint64_t kSnapshotMinRecords = 16;

/// What the coordinator knows about a stream and its newest snapshot.
struct SnapshotPolicyInput
{
  std::uint64_t mNextOffset = 0;
  /// Offset of the oldest record that the log retains, as far as known.
  std::uint64_t mOldestRetained = 0;
  /// Offset of the last record contained in the newest complete snapshot that
  /// was read from the log.
  std::optional<std::uint64_t> mLastSnapshotOffset;
  /// Wall time that the log assigned to that snapshot.
  Millis mLastSnapshotWallTime;
};

/// True if a snapshot is due: well before the records that follow the newest
/// one expire, whether the log limits retention by number or by time. aNow is
/// wall time.
bool
isSnapshotDue(const SnapshotPolicyInput& aInput, Millis aNow);

}

#endif

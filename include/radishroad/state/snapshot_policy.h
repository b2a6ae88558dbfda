#ifndef RADISHROAD_STATE_SNAPSHOT_POLICY_H
#define RADISHROAD_STATE_SNAPSHOT_POLICY_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>

namespace radishroad {

/// Records folded, and time passed, from one snapshot to the next. A shorter
/// retention that is seen of the log lowers the first.
constexpr std::uint64_t kSnapshotIntervalRecords = 1024;
constexpr Millis kSnapshotInterval{ 300000 };
/// Of the records that the log keeps, one in so many may follow the newest
/// snapshot before the next is due.
constexpr std::uint64_t kRetentionDivisor = 4;
/// Fewer new records than this never make a snapshot due by their number, so
/// that snapshots do not follow from each other.
constexpr std::uint64_t kSnapshotMinRecords = 16;

/// What the coordinator knows of a stream.
struct SnapshotPolicyInput
{
  std::uint64_t mNextOffset = 0;
  /// Offset of the oldest record kept, as far as known.
  std::uint64_t mOldestKept = 0;
  /// What the newest whole snapshot read back from the log builds on.
  std::optional<std::uint64_t> mLastSnapshotOffset;
  /// Wall time that the log gave to it.
  Millis mLastSnapshotWallTime;
};

/// Is a snapshot due? Well before the records that the newest one builds on
/// expire, whether the log keeps records by number or by time. aNow is wall
/// time.
bool
isSnapshotDue(const SnapshotPolicyInput& aInput, Millis aNow);

}

#endif

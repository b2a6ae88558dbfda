#ifndef RADISHROAD_DAEMON_SNAPSHOT_MANAGER_H
#define RADISHROAD_DAEMON_SNAPSHOT_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Appends snapshots well before the log drops records that a newly started
/// daemon needs. The coordinator writes those of its cell's stream, and the
/// coordinator of the first service by name also those of the configuration.
/// Control thread only.
class SnapshotManager
{
public:
  /// Returns the oldest offset of a stream that the log retains, as last seen.
  using OldestOffsetFn = std::function<std::uint64_t(const std::string&)>;

  SnapshotManager(ControlContext& aContext, OldestOffsetFn aOldestOffset);

  void tick();

private:
  bool isCoordinator() const;
  bool ownsConfigSnapshots() const;
  template<typename Loader>
  void snapshotIfDue(const std::string& aStream, const Loader& aLoader);
  void append(const std::string& aStream,
              std::vector<wire::SnapshotChunkT> aChunks);

  ControlContext& mContext;
  OldestOffsetFn mOldestRetained;
  Millis mNextCheckAt;
  std::size_t mPendingChunks = 0;
};

}

#endif

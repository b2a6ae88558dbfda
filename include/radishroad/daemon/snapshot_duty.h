#ifndef RADISHROAD_DAEMON_SNAPSHOT_DUTY_H
#define RADISHROAD_DAEMON_SNAPSHOT_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Appends snapshots well before the log drops records that a fresh daemon
/// needs: the coordinator for its cell's stream, and the coordinator of the
/// first service by name for the configuration. Control thread only.
class SnapshotDuty
{
public:
  /// Oldest offset that the log keeps of a stream, as last seen.
  using OldestFn = std::function<std::uint64_t(const std::string&)>;

  SnapshotDuty(ControlContext& aContext, OldestFn aOldestKept);

  void tick();

private:
  bool coordinates() const;
  bool keepsConfig() const;
  template<typename Loader>
  void snapshotIfDue(const std::string& aStream, const Loader& aLoader);
  void append(const std::string& aStream,
              std::vector<wire::SnapshotChunkT> aChunks);

  ControlContext& mContext;
  OldestFn mOldestKept;
  Millis mNextLook;
  std::size_t mPendingChunks = 0;
};

}

#endif

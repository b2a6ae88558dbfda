#ifndef RADISHROAD_OWNERSHIP_TAKEOVER_GUARD_H
#define RADISHROAD_OWNERSHIP_TAKEOVER_GUARD_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/ownership_change.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishroad {

/// Determines how long a new owner must wait before it serves, for services
/// whose upstreams do not check fencing epochs: requests of a lost owner may
/// still run at its upstream. They have ended at the latest when the longest
/// possible deadline of a request has passed since the loss was read back from
/// the log. A planned hand-off needs no wait. Performs no I/O.
///
/// All changes of the cell must be passed in, not only those that concern this
/// daemon: a shard may be handed to this daemon while the wait for an earlier
/// owner is not over.
class TakeoverGuard
{
public:
  /// Call when earlier changes are unknown, for instance after a start from a
  /// snapshot. If aState contains an expelled member, all shards and keys wait.
  void initialize(const CellState& aState, Millis aNow, Millis aDeadline);
  void onOwnershipChange(const OwnershipChange& aChange,
                         Millis aNow,
                         Millis aDeadline);
  /// Applies all ownership changes between two states.
  void onStateChange(const CellState& aBefore,
                     const CellState& aAfter,
                     Millis aNow,
                     Millis aDeadline);

  /// Time from which the owner of a shard may serve it.
  Millis serveFrom(Shard aShard) const;
  /// Time from which the owner of a split key may serve it. A key that was
  /// merged back into its shard keeps its wait.
  Millis splitKeyServeFrom(std::uint64_t aKeyHash) const;
  /// Time from which the owner of a key may serve it, whether it is split or
  /// not.
  Millis serveFrom(const CellState& aState, std::uint64_t aKeyHash) const;
  /// Removes waits that have ended.
  void prune(Millis aNow);

private:
  Millis mAllServeFrom;
  std::map<Shard, Millis> mShardWaits;
  std::map<std::uint64_t, Millis> mKeyWaits;
};

}

#endif

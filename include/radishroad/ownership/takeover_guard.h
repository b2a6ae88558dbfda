#ifndef RADISHROAD_OWNERSHIP_TAKEOVER_GUARD_H
#define RADISHROAD_OWNERSHIP_TAKEOVER_GUARD_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/ownership_change.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishroad {

/// For services whose upstreams do not check fences: how long a new owner has
/// to wait, since requests of an owner that was lost may still run at its
/// upstream. They ended at the latest when the longest deadline that a request
/// is given has passed since the loss was read back. A planned hand-off needs
/// no wait. Pure.
///
/// Every change of the cell is passed in, not only those that concern this
/// daemon: a shard may be handed to it while the wait for an earlier owner of
/// it still runs.
class TakeoverGuard
{
public:
  /// Nothing is known of changes before now, as after a start from a snapshot:
  /// if aState remembers a lost member, all of its shards and keys wait.
  void begin(const CellState& aState, Millis aNow, Millis aDeadline);
  void onOwnershipChange(const OwnershipChange& aChange,
                         Millis aNow,
                         Millis aDeadline);
  /// The same for all changes from one state to the next.
  void onStates(const CellState& aBefore,
                const CellState& aAfter,
                Millis aNow,
                Millis aDeadline);

  /// Time from which the owner of a shard may serve it.
  Millis serveFrom(Shard aShard) const;
  /// The same for a key that is split out of its shard, or was until it was
  /// merged back: it keeps its wait.
  Millis serveFromKey(std::uint64_t aKeyHash) const;
  /// Time from which the owner of a key, split out or not, may serve it.
  Millis serveFrom(const CellState& aState, std::uint64_t aKeyHash) const;
  /// Drops waits that have ended.
  void prune(Millis aNow);

private:
  Millis mStart;
  std::map<Shard, Millis> mShards;
  std::map<std::uint64_t, Millis> mKeys;
};

}

#endif

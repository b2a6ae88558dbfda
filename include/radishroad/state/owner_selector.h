#ifndef RADISHROAD_STATE_OWNER_SELECTOR_H
#define RADISHROAD_STATE_OWNER_SELECTOR_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>

namespace radishroad {

/// Chooses new owners, one after another, so that the members that may own
/// end up with even counts. A split key counts as much as a shard.
class OwnerSelector
{
public:
  explicit OwnerSelector(const CellState& aState);

  /// Returns the member with the lowest count other than aFrom, and increments
  /// that count. Breaks ties by the rendezvous hash of shard and incarnation.
  /// 0 if there is no such member.
  Incarnation select(Shard aShard, Incarnation aFrom);
  /// True if any member may own shards and split keys.
  bool hasCandidates() const { return !mCounts.empty(); }

private:
  /// Shards and split keys of each member that may own.
  std::map<Incarnation, std::uint32_t> mCounts;
};

}

#endif

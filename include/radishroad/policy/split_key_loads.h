#ifndef RADISHROAD_POLICY_SPLIT_KEY_LOADS_H
#define RADISHROAD_POLICY_SPLIT_KEY_LOADS_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace radishroad {

/// Follows the split keys of a cell and what load they bear. Pure.
class SplitKeyLoads
{
public:
  struct Key
  {
    Shard mShard = 0;
    Incarnation mOwner = 0;
    /// Requests a second.
    double mRate = 0;
    /// When the present owner was first seen.
    Millis mOwnedSince;
    /// The key has been cold since then.
    std::optional<Millis> mColdSince;
  };

  struct Hooks
  {
    /// Last known rate of a key that has just been split out.
    std::function<double(std::uint64_t aKeyHash)> mLastKnownRate;
    /// Load that a split adds to its shard (below 0) or a merge gives back.
    std::function<void(Shard, double aRate)> mAddShardRate;
  };

  /// Takes in splits, moves and merges since the last call.
  void update(const CellState& aState, const Hooks& aHooks, Millis aNow);
  /// Rates of a member's keys. For a while after a move the rate from before
  /// holds, since the new owner's estimate grows from 0.
  void onReport(const wire::LoadReportT& aReport, Millis aNow);
  /// Marks what is at or below this rate as cold.
  void updateColdSince(double aColdRate, Millis aNow);

  /// Sum of the rates of a member's keys, those of one shard or all.
  double rateOf(Incarnation aOwner,
                std::optional<Shard> aShard = std::nullopt) const;
  const std::map<std::uint64_t, Key>& keys() const { return mKeys; }

private:
  std::map<std::uint64_t, Key> mKeys;
};

}

#endif

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

/// Tracks the split keys of a cell and their request rates. Does no I/O and
/// reads no clock.
class SplitKeyLoads
{
public:
  struct Key
  {
    Shard mShard = 0;
    Incarnation mOwner = 0;
    /// Requests a second.
    double mRate = 0;
    /// When the current owner was first seen.
    Millis mOwnedSince;
    /// Start of the period since which the key has been cold.
    std::optional<Millis> mColdSince;
  };

  struct Hooks
  {
    /// Last known rate of a key that has just been split out.
    std::function<double(std::uint64_t aKeyHash)> mLastKnownRate;
    /// Adds a rate to a shard: negative when a key is split out, positive when
    /// it is merged back.
    std::function<void(Shard, double aRate)> mAddShardRate;
  };

  /// Applies splits, moves and merges since the last call.
  void update(const CellState& aState, const Hooks& aHooks, Millis aNow);
  /// Updates the rates of a member's keys. For a while after a move the rate
  /// from before the move remains a lower bound, because the new owner's
  /// estimate starts from 0.
  void onReport(const wire::LoadReportT& aReport, Millis aNow);
  /// Records since when each key has been at or below this rate.
  void updateColdSince(double aColdRate, Millis aNow);

  /// Sum of the rates of a member's keys, in one shard or in all.
  double rateOf(Incarnation aOwner,
                std::optional<Shard> aShard = std::nullopt) const;
  const std::map<std::uint64_t, Key>& keys() const { return mKeys; }

private:
  std::map<std::uint64_t, Key> mKeys;
};

}

#endif

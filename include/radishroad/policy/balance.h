#ifndef RADISHROAD_POLICY_BALANCE_H
#define RADISHROAD_POLICY_BALANCE_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/policy/move_allowance.h"
#include "radishroad/state/cell_state.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// Moves shards by measured load, with as few moves as it can. Pure.
///
/// A shard's load is its requests times the mean cost of a request in the
/// cell, so that a slow upstream does not make its shards look heavy. An
/// upstream that answers slower than the others counts for less, but only
/// once its slowness has outlasted a moment. Nothing moves while the most
/// loaded upstream is within a band of the mean; once outside for a time,
/// moves go on until it is well inside.
class Balancer
{
public:
  /// True if the member may be given shards.
  using MayOwnFn = std::function<bool(Incarnation)>;

  /// What a member counted since its last report.
  void onReport(const wire::LoadReportT& aReport,
                const CellState& aState,
                Millis aNow);
  /// Forgets a member that is gone.
  void forget(Incarnation aMember);

  /// Shards to hand off now, each with its next owner.
  std::vector<wire::ShardGrant> planMoves(const CellState& aState,
                                          const MayOwnFn& aMayOwn,
                                          Millis aNow);
  /// What the members bear besides the work that they have.
  MoveAllowance allowance(const CellState& aState) const;
  /// Requests that a shard would keep in flight at the member.
  double loadAt(Shard aShard, Incarnation aMember) const;
  /// Keys to split out of shards that are too heavy for any upstream beside
  /// its others. Those of planMoves come first.
  std::vector<wire::SplitKeyT> planSplits(const CellState& aState,
                                          const MayOwnFn& aMayOwn,
                                          Millis aNow);

private:
  struct MemberView
  {
    Millis mReportedAt;
    /// Requests that its gate sends at once; 0 for not known.
    double mWindow = 0;
    /// Milliseconds that a request takes, smoothed.
    double mCost = 0;
    std::optional<Millis> mSlowSince;
    /// Requests a second for keys split out of others' shards, smoothed.
    double mSplitRate = 0;
    /// The key with most requests, if it makes up much of its shard.
    std::optional<wire::HotKeyT> mHotKey;
  };
  struct ShardView
  {
    /// Requests a second, smoothed.
    double mRate = 0;
    std::optional<Millis> mMovedAt;
  };
  struct Standing
  {
    Incarnation mMember = 0;
    double mCapacity = 1;
    double mLoad = 0;
    double used() const { return mLoad / mCapacity; }
  };

  static std::optional<wire::HotKeyT> hotKeyOf(
    const wire::LoadReportT& aReport);
  double meanCost() const;
  double costOf(const MemberView& aView) const;
  double capacityOf(MemberView& aView, Millis aNow) const;
  std::vector<Standing> standings(const CellState& aState,
                                  const MayOwnFn& aMayOwn,
                                  Millis aNow);
  bool mayMove(Shard aShard, Millis aNow) const;
  std::optional<Shard> bestShard(const CellState& aState,
                                 const Standing& aFrom,
                                 const Standing& aTo,
                                 Millis aNow) const;
  bool outOfBand(std::span<const Standing> aStandings, Millis aNow);

  std::map<Incarnation, MemberView> mMembers;
  std::array<ShardView, kShardCount> mShards{};
  std::optional<Millis> mHighSince;
  bool mMoving = false;
};

}

#endif

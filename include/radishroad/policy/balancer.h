#ifndef RADISHROAD_POLICY_BALANCER_H
#define RADISHROAD_POLICY_BALANCER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/policy/in_flight_headroom.h"
#include "radishroad/policy/split_key_loads.h"
#include "radishroad/state/cell_state.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// Plans moves of shards and hot keys by measured load, with as few moves as
/// possible. Does no I/O and reads no clock.
///
/// A shard's load is its request rate times the mean cost of a request in the
/// cell, so that a slow upstream does not make its shards look heavy. An
/// upstream that answers more slowly than the others gets a lower capacity, but
/// only if the slowness lasts. Nothing moves while the most loaded upstream is
/// within a band around the mean; once it has been outside for a time, moves
/// continue until it is well inside. A split key that turned cold is merged
/// back into its shard.
class Balancer
{
public:
  /// How soon and how much to move.
  struct Options
  {
    /// Moves start when the highest utilization exceeds mStartRatio times the
    /// mean, and stop below mStopRatio times the mean.
    double mStartRatio = 1.3;
    double mStopRatio = 1.15;
    /// Members below this utilization are never relieved. Only meaningful if
    /// utilization is a share of capacity.
    double mMinUtilization = 0;
    Millis mStartDelay{ 3000 };
    /// A shard is not moved again within this time.
    Millis mShardCooldown{ 30000 };
    std::size_t mMaxMovesPerPlan = 4;
    /// A move must lower the higher of the two utilizations by this share.
    double mMinGain = 0.03;
    /// Maximum number of shards moved within mMoveBudgetInterval.
    std::size_t mMaxMovesPerInterval = 16;
    Millis mMoveBudgetInterval{ 60000 };
    /// Time constant of the smoothed loads.
    double mSmoothingSeconds = 5.0;
    /// The same for a falling capacity, so that a slow upstream is relieved
    /// faster than it is trusted again.
    double mFallingCapacitySeconds = 5.0;
    /// Members report their capacity, and utilization is measured against it.
    bool mUsesReportedCapacity = false;
  };
  /// Options for upstreams that differ in speed and report their capacity, and
  /// whose shards can be moved at little cost.
  ///
  /// Load pattern: upstreams differ threefold in speed, some turn several times
  /// slower for seconds, and the total load is close to the total capacity.
  /// Equal shares overload the slow ones while others have capacity left.
  static Options capacityBasedOptions();

  Balancer()
    : Balancer(Options{})
  {
  }
  explicit Balancer(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Returns true if the member may be given shards.
  using MayOwnFn = std::function<bool(Incarnation)>;

  /// Handles a member's counts since its last report.
  void onReport(const wire::LoadReportT& aReport,
                const CellState& aState,
                Millis aNow);
  /// Returns whether there is enough traffic to distinguish loads from noise.
  bool hasTraffic() const;
  /// How evenly the members are loaded, for a log line.
  struct Summary
  {
    std::size_t mMembers = 0;
    /// Requests a second of the whole cell.
    double mRate = 0;
    /// Utilization is load divided by capacity.
    double mMaxUtilization = 0;
    double mMeanUtilization = 0;
    /// Mean capacity of the members in requests a second; 1 if none has
    /// reported one.
    double mMeanCapacity = 0;
  };
  Summary summarize(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow);
  /// Returns the shards to hand off now, each with its next owner. Returns none
  /// while earlier planned key moves are not in the cell state yet.
  std::vector<wire::ShardGrant> planMoves(const CellState& aState,
                                          const MayOwnFn& aMayOwn,
                                          Millis aNow);
  /// Returns how many more requests in flight the members can take on.
  InFlightHeadroom headroom(const CellState& aState) const;
  /// Requests that a shard would keep in flight at the member.
  double inFlightAt(Shard aShard, Incarnation aMember) const;
  /// Returns the keys to split out, to move, or to merge back into their shards
  /// (`to` is 0) now. Call it before planMoves(): where moving one key achieves
  /// nearly as much as moving its whole shard, fewer keys change owner.
  std::vector<wire::SplitKeyT> planKeyMoves(const CellState& aState,
                                            const MayOwnFn& aMayOwn,
                                            Millis aNow);

private:
  struct MemberView
  {
    Millis mLastReportAt;
    /// Concurrency window of its upstream; 0 if unknown.
    double mWindow = 0;
    /// Milliseconds per request, smoothed.
    double mCost = 0;
    /// Capacity in requests a second, smoothed; 0 if not reported.
    double mCapacity = 0;
    std::optional<Millis> mSlowSince;
    /// Its hottest keys by the last report.
    std::vector<wire::HotKeyT> mHotKeys;
  };
  struct ShardView
  {
    /// Requests a second, smoothed.
    double mRate = 0;
    std::optional<Millis> mMovedAt;
  };
  struct MemberLoad
  {
    Incarnation mMember = 0;
    double mCapacity = 1;
    double mLoad = 0;
    double utilization() const { return mLoad / mCapacity; }
  };

  void updateSplitKeys(const CellState& aState, Millis aNow);
  double lastReportedRate(std::uint64_t aKeyHash) const;
  void updateShardRates(const wire::LoadReportT& aReport,
                        const CellState& aState,
                        Millis aPassed);
  /// Returns the higher of the two utilizations after aRate has moved from one
  /// member to the other.
  static double maxUtilizationAfter(const MemberLoad& aFrom,
                                    const MemberLoad& aTo,
                                    double aRate);
  double meanCost() const;
  double costOf(const MemberView& aView) const;
  double capacityOf(MemberView& aView, Millis aNow) const;
  /// Mean of the reported capacities; 1 if there are none.
  double meanCapacity() const;
  std::vector<MemberLoad> memberLoads(const CellState& aState,
                                      const MayOwnFn& aMayOwn,
                                      Millis aNow);
  /// Number of shards that may still be moved now.
  std::size_t moveBudget(Millis aNow) const;
  bool canMove(Shard aShard, Millis aNow) const;
  std::optional<Shard> bestShard(const CellState& aState,
                                 const MemberLoad& aFrom,
                                 const MemberLoad& aTo,
                                 Millis aNow) const;
  /// The key whose move lowers the higher of the two utilizations most, if it
  /// does nearly as much as moving the best shard.
  std::optional<wire::HotKeyT> bestKey(const CellState& aPlanned,
                                       const MemberLoad& aFrom,
                                       const MemberLoad& aTo,
                                       Millis aNow) const;
  bool isWorthSplitting(const CellState& aPlanned,
                        const MemberLoad& aFrom,
                        const MemberLoad& aTo,
                        double aRate,
                        Millis aNow) const;
  /// Keys of a member that may be moved, split out or not.
  std::vector<wire::HotKeyT> movableKeys(const CellState& aPlanned,
                                         Incarnation aOwner,
                                         Millis aNow) const;
  std::vector<wire::SplitKeyT> planMerges(const CellState& aState,
                                          const MayOwnFn& aMayOwn,
                                          Millis aNow) const;
  std::vector<wire::SplitKeyT> planHotKeyMoves(const CellState& aState,
                                               std::vector<MemberLoad> aLoads,
                                               Millis aNow) const;
  bool awaitsPlannedKeyMoves(const CellState& aState, Millis aNow) const;
  static double meanUtilization(std::span<const MemberLoad> aLoads);
  /// Sorts by falling utilization and returns the members above the stop ratio.
  /// The first of them may serve a single key that exceeds its fair share and
  /// cannot be relieved, so the caller tries them in turn.
  std::span<MemberLoad> sortAndTakeOverloaded(
    std::span<MemberLoad> aLoads) const;
  bool updateRebalancing(std::span<const MemberLoad> aLoads, Millis aNow);

  const Options mOptions;
  std::map<Incarnation, MemberView> mMembers;
  std::array<ShardView, kShardCount> mShards{};
  SplitKeyLoads mSplitKeys;
  std::vector<wire::SplitKeyT> mPlannedKeyMoves;
  Millis mKeyMovesPlannedAt;
  std::optional<Millis> mOverloadedSince;
  bool mRebalancing = false;
};

}

#endif

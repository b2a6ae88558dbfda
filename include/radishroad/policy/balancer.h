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

/// Moves shards and hot keys by measured load, with as few moves as it can.
/// Pure.
///
/// A shard's load is its requests times the mean cost of a request in the
/// cell, so that a slow upstream does not make its shards look heavy. An
/// upstream that answers slower than the others counts for less, but only
/// once its slowness has outlasted a moment. Nothing moves while the most
/// loaded upstream is within a band of the mean; once outside for a time,
/// moves go on until it is well inside. A key that has been split out and went
/// cold returns to its shard.
class Balancer
{
public:
  /// How soon and how much is moved.
  struct Options
  {
    /// Moves begin above this share of the mean use and end below the other.
    double mStartRatio = 1.3;
    double mStopRatio = 1.15;
    /// Use below which a member is never relieved; where use is a share of
    /// capacity.
    double mMinUtilization = 0;
    Millis mStartDelay{ 3000 };
    /// A shard that was moved rests.
    Millis mShardCooldown{ 30000 };
    std::size_t mMaxMovesPerPlan = 4;
    /// A move must lower the higher of the two by this share.
    double mMinGain = 0.03;
    /// Shards moved within the span at most.
    std::size_t mMaxMovesPerInterval = 16;
    Millis mMoveInterval{ 60000 };
    /// Time constant of the smoothed loads.
    double mSmoothingSeconds = 5.0;
    /// The same for a capacity that falls: a slow upstream is relieved sooner
    /// than it is trusted again.
    double mFallingCapacitySeconds = 5.0;
    /// Members tell what they bear, and their use is measured by that.
    bool mUsesReportedCapacity = false;
  };
  /// For upstreams that differ in speed and tell what they bear, where a move
  /// costs next to nothing.
  ///
  /// Load pattern: upstreams differ threefold in speed, some turn several
  /// times slower for seconds, and the sum is close to what all bear. Even
  /// shares overload the slow ones while others have room.
  static Options capacityBasedOptions();

  Balancer()
    : Balancer(Options{})
  {
  }
  explicit Balancer(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// True if the member may be given shards.
  using MayOwnFn = std::function<bool(Incarnation)>;

  /// What a member counted since its last report.
  void onReport(const wire::LoadReportT& aReport,
                const CellState& aState,
                Millis aNow);
  /// Enough is asked for that loads can be told from chance.
  bool hasTraffic() const;
  /// How evenly the members are used, for a log line.
  struct Summary
  {
    std::size_t mMembers = 0;
    /// Requests a second, of the whole cell.
    double mRate = 0;
    /// Use is load by capacity.
    double mMaxUtilization = 0;
    double mMeanUtilization = 0;
    /// Requests a second that the members bear on average; 1 if none has told.
    double mMeanCapacity = 0;
  };
  Summary summarize(const CellState& aState,
                    const MayOwnFn& aMayOwn,
                    Millis aNow);
  /// Shards to hand off now, each with its next owner. None while an earlier
  /// plan for keys is not in the state yet.
  std::vector<wire::ShardGrant> planMoves(const CellState& aState,
                                          const MayOwnFn& aMayOwn,
                                          Millis aNow);
  /// What the members bear besides the work that they have.
  InFlightHeadroom headroom(const CellState& aState) const;
  /// Requests that a shard would keep in flight at the member.
  double inFlightAt(Shard aShard, Incarnation aMember) const;
  /// Keys to split out of their shards, to move, or to return to them (`to` 0)
  /// now. Asked for before planMoves: the move of a key that does nearly as
  /// much as that of a whole shard leaves more keys where they are.
  std::vector<wire::SplitKeyT> planKeyMoves(const CellState& aState,
                                            const MayOwnFn& aMayOwn,
                                            Millis aNow);

private:
  struct MemberView
  {
    Millis mLastReportAt;
    /// Requests that its gate sends at once; 0 for not known.
    double mWindow = 0;
    /// Milliseconds that a request takes, smoothed.
    double mCost = 0;
    /// Requests a second that it bears, smoothed; 0 for not told.
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
  /// The higher of the two loads after aRate has moved from one to the other.
  static double maxUtilizationAfter(const MemberLoad& aFrom,
                                    const MemberLoad& aTo,
                                    double aRate);
  double meanCost() const;
  double costOf(const MemberView& aView) const;
  double capacityOf(MemberView& aView, Millis aNow) const;
  /// Mean of the capacities that are told; 1 if there are none.
  double meanCapacity() const;
  std::vector<MemberLoad> memberLoads(const CellState& aState,
                                      const MayOwnFn& aMayOwn,
                                      Millis aNow);
  /// Shards that may still move now.
  std::size_t moveBudget(Millis aNow) const;
  bool canMove(Shard aShard, Millis aNow) const;
  std::optional<Shard> bestShard(const CellState& aState,
                                 const MemberLoad& aFrom,
                                 const MemberLoad& aTo,
                                 Millis aNow) const;
  /// The key whose move lowers the higher of the two most, if it does nearly
  /// as much as that of the best shard.
  std::optional<wire::HotKeyT> bestKey(const CellState& aPlanned,
                                       const MemberLoad& aFrom,
                                       const MemberLoad& aTo,
                                       Millis aNow) const;
  bool isWorthSplitting(const CellState& aPlanned,
                        const MemberLoad& aFrom,
                        const MemberLoad& aTo,
                        double aRate,
                        Millis aNow) const;
  /// Keys of a member that may move, split out or not.
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
  /// Sorts the most loaded first and gives those above the band: one of them
  /// may bear a single key that is hotter than its share, and is passed over.
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

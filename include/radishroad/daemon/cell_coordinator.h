#ifndef RADISHROAD_DAEMON_CELL_COORDINATOR_H
#define RADISHROAD_DAEMON_CELL_COORDINATOR_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/policy/balancer.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <span>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Placement decisions of the cell's coordinator: assigns owners to shards
/// without one, evens out the number of shards per member after members join,
/// moves shards and hot keys by measured load, and records the availability
/// zones that are out of service.
/// Acts only while this daemon is the coordinator according to its own state.
/// That state may be stale, so every proposal carries a precondition. Control
/// thread only.
class CellCoordinator
{
public:
  /// Carry out moves of shards and keys that this daemon owns itself.
  struct LocalMoveHooks
  {
    std::function<void(std::span<const wire::ShardGrant>)> mShards;
    std::function<void(std::span<const wire::SplitKeyT>)> mKeys;
  };

  CellCoordinator(ControlContext& aContext, LocalMoveHooks aLocalMoves);

  /// Takes the load that a member has measured since its last report.
  void onReport(const wire::LoadReportT& aReport);
  void tick();

private:
  bool proposeZones();
  bool proposeOwners(Millis aNow);
  /// Key layout that goes into an Assign record.
  KeyLayout layoutForAssignment() const;
  void orderMoves(Millis aNow);
  void orderShardMoves(Millis aNow);
  void orderKeyMoves(Millis aNow);
  /// Logs each plan that contains moves, and the balance at a fixed interval
  /// while there are none.
  void logBalance(std::size_t aMoves, std::size_t aOwners, Millis aNow);
  std::vector<wire::ShardGrant> planShardMoves(Millis aNow);
  /// Accepts the members that may own shards according to the state and that
  /// are not suspected of having failed.
  Balancer::MayOwnFn eligibleOwnerFilter() const;
  void sendShardMoves(Incarnation aOwner,
                      std::span<const wire::ShardGrant> aGrants);
  void sendKeyMoves(Incarnation aOwner, std::span<const wire::SplitKeyT> aKeys);

  ControlContext& mContext;
  LocalMoveHooks mLocalMoves;
  bool mProposing = false;
  std::size_t mMemberCount = 0;
  Millis mMembersChangedAt;
  Millis mNextMovesAt;
  Millis mNextBalanceLogAt;
  Balancer mBalancer;
};

}

#endif

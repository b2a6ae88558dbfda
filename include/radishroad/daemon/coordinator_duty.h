#ifndef RADISHROAD_DAEMON_COORDINATOR_DUTY_H
#define RADISHROAD_DAEMON_COORDINATOR_DUTY_H

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

/// What the cell's coordinator proposes: owners for shards without one, an
/// even spread after arrivals, moves of shards and hot keys by measured load,
/// and the availability zones out of service.
/// Acts only while this daemon is the coordinator by its own state; every
/// proposal carries a precondition. Control thread only.
class CoordinatorDuty
{
public:
  /// Moves of what this daemon owns itself.
  struct OrderHooks
  {
    std::function<void(std::span<const wire::ShardGrant>)> mShards;
    std::function<void(std::span<const wire::SplitKeyT>)> mKeys;
  };

  CoordinatorDuty(ControlContext& aContext, OrderHooks aOrderOwn);

  /// What a member has counted since its last report.
  void onReport(const wire::LoadReportT& aReport);
  void tick();

private:
  bool proposeZones();
  bool proposeOwners(Millis aNow);
  /// Layout of the keys for a first assignment.
  KeyLayout layoutForAssignment() const;
  void orderMoves(Millis aNow);
  void orderShards(Millis aNow);
  void orderKeys(Millis aNow);
  /// One line for each plan that moves something, and now and then without.
  void logBalance(std::size_t aMoves, std::size_t aOwners, Millis aNow);
  std::vector<wire::ShardGrant> planShards(Millis aNow);
  /// May the member be given anything, by the state and by what answers?
  Balancer::MayOwnFn mayBeGiven() const;
  void sendShards(Incarnation aOwner,
                  std::span<const wire::ShardGrant> aGrants);
  void sendKeys(Incarnation aOwner, std::span<const wire::SplitKeyT> aKeys);

  ControlContext& mContext;
  OrderHooks mOrderOwn;
  bool mProposing = false;
  std::size_t mMembersSeen = 0;
  Millis mMembersChangedAt;
  Millis mNextMoves;
  Millis mNextBalanceLog;
  Balancer mBalancer;
};

}

#endif

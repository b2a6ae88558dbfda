#ifndef RADISHROAD_DAEMON_COORDINATOR_DUTY_H
#define RADISHROAD_DAEMON_COORDINATOR_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/policy/balance.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <span>
#include <vector>

namespace radishroad {

struct ControlContext;

/// What the cell's coordinator proposes: owners for shards without one, an
/// even spread after arrivals, moves by measured load, and the availability
/// zones out of service.
/// Acts only while this daemon is the coordinator by its own state; every
/// proposal carries a precondition. Control thread only.
class CoordinatorDuty
{
public:
  /// Moves of shards that this daemon owns itself.
  using OrderFn = std::function<void(std::span<const wire::ShardGrant>)>;

  CoordinatorDuty(ControlContext& aContext, OrderFn aOrderOwn);

  /// What a member has counted since its last report.
  void onReport(const wire::LoadReportT& aReport);
  void tick();

private:
  bool proposeZones();
  bool proposeOwners(Millis aNow);
  void orderMoves(Millis aNow);
  std::vector<wire::ShardGrant> planMoves(Millis aNow);
  void sendOrder(Incarnation aOwner, std::span<const wire::ShardGrant> aGrants);

  ControlContext& mContext;
  OrderFn mOrderOwn;
  bool mProposing = false;
  std::size_t mMembersSeen = 0;
  Millis mMembersChangedAt;
  Millis mNextMoves;
  Balancer mBalancer;
};

}

#endif

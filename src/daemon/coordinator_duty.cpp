#include "radishroad/daemon/coordinator_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/recorder.h"
#include "radishroad/ownership/handoff.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Members that start together are all there before shards are given out.
constexpr Millis kSettleTime{ 500 };
/// Pace of moves towards an even spread.
constexpr Millis kSpreadInterval{ 500 };
constexpr std::size_t kSpreadShards = 16;

std::vector<std::string>
zonesOut(const config::Model& aModel)
{
  std::vector<std::string> zones;
  for (const auto& [name, zone] : aModel.mZones) {
    if (!zone.mInService) {
      zones.push_back(name);
    }
  }
  return zones;
}

}

CoordinatorDuty::CoordinatorDuty(ControlContext& aContext, OrderFn aOrderOwn)
  : mContext(aContext)
  , mOrderOwn(std::move(aOrderOwn))
{
}

void
CoordinatorDuty::tick()
{
  const Millis now = mContext.mNow();
  const CellState& cell = mContext.mFleet.ownCell();
  if (cell.mMembers.size() != mMembersSeen) {
    mMembersSeen = cell.mMembers.size();
    mMembersChangedAt = now;
  }
  if (mProposing || mContext.self() == nullptr ||
      coordinatorOf(cell) != mContext.mSelf) {
    return;
  }
  if (proposeZones() || proposeOwners(now)) {
    return;
  }
  orderSpread(now);
}

bool
CoordinatorDuty::proposeZones()
{
  const config::Model* model = mContext.mFleet.model();
  const CellState& cell = mContext.mFleet.ownCell();
  const std::uint64_t version = mContext.mFleet.config().mVersion;
  if (model == nullptr || version <= cell.mZonesVersion) {
    return false;
  }
  const std::vector<std::string> zones = zonesOut(*model);
  if (std::equal(zones.begin(),
                 zones.end(),
                 cell.mDrainedZones.begin(),
                 cell.mDrainedZones.end())) {
    return false;
  }
  wire::ZonesOutT change;
  change.proposer = mContext.mSelf;
  change.config_version = version;
  change.zones = zones;
  mProposing = true;
  mContext.mRecorder.propose(mContext.ownStream(),
                             std::move(change),
                             [this](ProposalEnd) { mProposing = false; });
  return true;
}

bool
CoordinatorDuty::proposeOwners(Millis aNow)
{
  if (aNow - mMembersChangedAt < kSettleTime) {
    return false;
  }
  std::vector<wire::ShardGrant> grants =
    planInitialAssignment(mContext.mFleet.ownCell());
  if (grants.empty()) {
    return false;
  }
  wire::AssignT change;
  change.proposer = mContext.mSelf;
  change.grants = std::move(grants);
  mProposing = true;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "assign",
               { { "applied", aEnd == ProposalEnd::Applied } });
    });
  return true;
}

void
CoordinatorDuty::orderSpread(Millis aNow)
{
  if (aNow < mNextSpread || aNow - mMembersChangedAt < kSettleTime) {
    return;
  }
  mNextSpread = aNow + kSpreadInterval;
  const CellState& cell = mContext.mFleet.ownCell();
  std::map<Incarnation, std::vector<wire::ShardGrant>> byOwner;
  for (const wire::ShardGrant& grant : planEvenSpread(cell, kSpreadShards)) {
    byOwner[cell.mShards.at(grant.shard()).mOwner].push_back(grant);
  }
  for (const auto& [owner, grants] : byOwner) {
    sendOrder(owner, grants);
  }
}

void
CoordinatorDuty::sendOrder(Incarnation aOwner,
                           std::span<const wire::ShardGrant> aGrants)
{
  if (aOwner == mContext.mSelf) {
    mOrderOwn(aGrants);
    return;
  }
  wire::MoveOrderT order;
  order.coordinator = mContext.mSelf;
  order.grants.assign(aGrants.begin(), aGrants.end());
  mContext.mSend(aOwner, makeBody(std::move(order)));
}

}

#include "radishroad/daemon/cell_coordinator.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Time without a membership change before shards are assigned, so that members
/// that start together all take part.
constexpr Millis kMembershipSettleTime{ 500 };
/// Longest wait for the first reports of upstreams that started with their
/// daemons: two report intervals plus the writes that record the reports.
constexpr Millis kFirstReportsTimeout{ 2500 };
/// Time between two rounds of moves.
constexpr Millis kMovesInterval{ 500 };
/// Limit of moves per round while shards are spread evenly.
constexpr std::size_t kMaxSpreadMoves = 16;
/// Time between two log lines on the balance while nothing moves.
constexpr Millis kBalanceLogInterval{ 5000 };
/// Under traffic each member gets at least an even share of the shards divided
/// by this, however low its measured capacity is.
constexpr std::size_t kMinShareDivisor = 8;

/// True if an eligible member owns less than half of an even share of the
/// shards. Smaller differences are left to the moves by load; evening them out
/// here would undo those moves.
bool
hasUnderAssignedMember(const CellState& aCell, bool aByCapacity)
{
  std::map<Incarnation, std::size_t> counts;
  for (const auto& [incarnation, member] : aCell.mMembers) {
    if (isEligibleOwner(aCell, incarnation)) {
      counts[incarnation] = 0;
    }
  }
  for (const Ownership& shard : aCell.mShards) {
    const auto it = counts.find(shard.mOwner);
    if (it != counts.end()) {
      ++it->second;
    }
  }
  const std::size_t evenShare =
    aCell.mShards.size() / std::max<std::size_t>(counts.size(), 1);
  // Under traffic a slow member rightly owns few shards because of its
  // measured capacity.
  const std::size_t minShards =
    aByCapacity ? std::max<std::size_t>(1, evenShare / kMinShareDivisor)
                : evenShare / 2;
  return std::any_of(counts.begin(), counts.end(), [&](const auto& aCount) {
    return aCount.second < minShards;
  });
}

std::vector<std::string>
zonesOutOfService(const config::Model& aModel)
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

CellCoordinator::CellCoordinator(ControlContext& aContext,
                                 LocalMoveHooks aLocalMoves)
  : mContext(aContext)
  , mLocalMoves(std::move(aLocalMoves))
  , mBalancer(aContext.mSettings.isPlatform() ? Balancer::capacityBasedOptions()
                                              : Balancer::Options{})
{
}

void
CellCoordinator::tick()
{
  const Millis now = mContext.mNow();
  const CellState& cell = mContext.mFleet.ownCell();
  if (cell.mMembers.size() != mMemberCount) {
    mMemberCount = cell.mMembers.size();
    mMembersChangedAt = now;
  }
  if (mProposing || mContext.self() == nullptr ||
      coordinatorOf(cell) != mContext.mSelf) {
    return;
  }
  if (proposeZones() || proposeOwners(now)) {
    return;
  }
  orderMoves(now);
}

bool
CellCoordinator::proposeZones()
{
  const config::Model* model = mContext.mFleet.model();
  const CellState& cell = mContext.mFleet.ownCell();
  const std::uint64_t version = mContext.mFleet.modelVersion();
  if (model == nullptr || version <= cell.mZonesVersion) {
    return false;
  }
  const std::vector<std::string> zones = zonesOutOfService(*model);
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
  mContext.mProposer.propose(mContext.ownStream(),
                             std::move(change),
                             [this](ProposalOutcome) { mProposing = false; });
  return true;
}

bool
CellCoordinator::proposeOwners(Millis aNow)
{
  if (aNow - mMembersChangedAt < kMembershipSettleTime) {
    return false;
  }
  const CellState& cell = mContext.mFleet.ownCell();
  if (awaitsFirstReports(cell) &&
      aNow - mMembersChangedAt < kFirstReportsTimeout) {
    return false;
  }
  std::vector<wire::ShardGrant> grants =
    planInitialAssignment(cell, mContext.mSuspects());
  if (grants.empty()) {
    return false;
  }
  wire::AssignT change;
  change.proposer = mContext.mSelf;
  change.grants = std::move(grants);
  change.run_keys = layoutForAssignment().runKeys();
  mProposing = true;
  mContext.mProposer.propose(
    mContext.ownStream(), std::move(change), [this](ProposalOutcome aOutcome) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "assign",
               { { "applied", aOutcome == ProposalOutcome::Applied } });
    });
  return true;
}

KeyLayout
CellCoordinator::layoutForAssignment() const
{
  const config::Model* model = mContext.mFleet.model();
  const CellState& cell = mContext.mFleet.ownCell();
  if (model == nullptr) {
    return layoutOf(cell);
  }
  const auto it = model->mServices.find(mContext.mSettings.mService);
  const bool byReport =
    it != model->mServices.end() && it->second.mGrantsByReport;
  const auto members =
    std::ranges::count_if(cell.mMembers, [&cell](const auto& aEntry) {
      return isEligibleOwner(cell, aEntry.first);
    });
  return byReport ? layoutForMembers(static_cast<std::size_t>(members))
                  : layoutOf(cell);
}

void
CellCoordinator::onReport(const wire::LoadReportT& aReport)
{
  mBalancer.onReport(aReport, mContext.mFleet.ownCell(), mContext.mNow());
}

void
CellCoordinator::orderMoves(Millis aNow)
{
  if (aNow < mNextMovesAt || aNow - mMembersChangedAt < kMembershipSettleTime) {
    return;
  }
  mNextMovesAt = aNow + kMovesInterval;
  // With the platform protocol a shard holds short runs of numbered keys that
  // lie far apart, which already spreads neighbouring hot keys over the owners.
  if (!mContext.mSettings.isPlatform() &&
      !hasUnderAssignedMember(mContext.mFleet.ownCell(), false)) {
    orderKeyMoves(aNow);
  }
  orderShardMoves(aNow);
}

void
CellCoordinator::orderShardMoves(Millis aNow)
{
  const CellState& cell = mContext.mFleet.ownCell();
  std::map<Incarnation, std::vector<wire::ShardGrant>> byOwner;
  const std::vector<wire::ShardGrant> moves = planShardMoves(aNow);
  for (const wire::ShardGrant& grant : moves) {
    byOwner[cell.mShards.at(grant.shard()).mOwner].push_back(grant);
  }
  logBalance(moves.size(), byOwner.size(), aNow);
  for (const auto& [owner, grants] : byOwner) {
    sendShardMoves(owner, grants);
  }
}

void
CellCoordinator::logBalance(std::size_t aMoves,
                            std::size_t aOwners,
                            Millis aNow)
{
  if (aMoves == 0 && aNow < mNextBalanceLogAt) {
    return;
  }
  mNextBalanceLogAt = aNow + kBalanceLogInterval;
  const CellState& cell = mContext.mFleet.ownCell();
  const Balancer::Summary summary =
    mBalancer.summarize(cell, eligibleOwnerFilter(), aNow);
  logEvent(LogLevel::Info,
           "balance",
           { { "moves", aMoves },
             { "from_members", aOwners },
             { "members", summary.mMembers },
             { "suspects", mContext.mSuspects().size() },
             { "state_version", cell.mNextOffset },
             { "rate", summary.mRate },
             { "highest_use", summary.mMaxUtilization },
             { "mean_use", summary.mMeanUtilization },
             { "mean_capacity", summary.mMeanCapacity } });
}

void
CellCoordinator::orderKeyMoves(Millis aNow)
{
  std::map<Incarnation, std::vector<wire::SplitKeyT>> byOwner;
  for (const wire::SplitKeyT& move : mBalancer.planKeyMoves(
         mContext.mFleet.ownCell(), eligibleOwnerFilter(), aNow)) {
    byOwner[move.incarnation].push_back(move);
  }
  for (const auto& [owner, moves] : byOwner) {
    sendKeyMoves(owner, moves);
  }
}

Balancer::MayOwnFn
CellCoordinator::eligibleOwnerFilter() const
{
  const CellState& cell = mContext.mFleet.ownCell();
  return [&cell, suspects = mContext.mSuspects()](Incarnation aMember) {
    return isEligibleOwner(cell, aMember) &&
           std::ranges::find(suspects, aMember) == suspects.end();
  };
}

std::vector<wire::ShardGrant>
CellCoordinator::planShardMoves(Millis aNow)
{
  const CellState& cell = mContext.mFleet.ownCell();
  const bool byCapacity =
    mContext.mSettings.isPlatform() && mBalancer.hasTraffic();
  if (hasUnderAssignedMember(cell, byCapacity)) {
    InFlightHeadroom headroom = mBalancer.headroom(cell);
    const auto tryReserve = [&](Shard aShard, Incarnation aMember) {
      return headroom.tryReserve(aMember,
                                 mBalancer.inFlightAt(aShard, aMember));
    };
    return planRebalance(
      cell, kMaxSpreadMoves, mContext.mSuspects(), tryReserve);
  }
  return mBalancer.planMoves(cell, eligibleOwnerFilter(), aNow);
}

void
CellCoordinator::sendShardMoves(Incarnation aOwner,
                                std::span<const wire::ShardGrant> aGrants)
{
  if (aOwner == mContext.mSelf) {
    mLocalMoves.mShards(aGrants);
    return;
  }
  wire::MoveOrderT order;
  order.coordinator = mContext.mSelf;
  order.grants.assign(aGrants.begin(), aGrants.end());
  mContext.mSend(aOwner, makeBody(std::move(order)));
}

void
CellCoordinator::sendKeyMoves(Incarnation aOwner,
                              std::span<const wire::SplitKeyT> aKeys)
{
  if (aOwner == mContext.mSelf) {
    mLocalMoves.mKeys(aKeys);
    return;
  }
  wire::MoveOrderT order;
  order.coordinator = mContext.mSelf;
  for (const wire::SplitKeyT& key : aKeys) {
    order.keys.push_back(std::make_unique<wire::SplitKeyT>(key));
  }
  mContext.mSend(aOwner, makeBody(std::move(order)));
}

}

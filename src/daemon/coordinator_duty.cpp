#include "radishroad/daemon/coordinator_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/recorder.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Members that start together are all there before shards are given out.
constexpr Millis kSettleTime{ 500 };
/// Longest wait for the first reports of upstreams that started with their
/// daemons: two intervals of their reports, and the writes that record them.
constexpr Millis kFirstReportsWait{ 2500 };
/// Pace of moves.
constexpr Millis kMovesInterval{ 500 };
constexpr std::size_t kSpreadShards = 16;
/// How often the balance is logged while nothing moves.
constexpr Millis kBalanceLogInterval{ 5000 };
/// Part of an even share that a member is given at once, however slow it is.
constexpr std::size_t kFewPart = 8;

/// Does a member that may own have less than half of an even share of the
/// shards? Smaller differences are left to the moves by load, which would
/// otherwise be undone.
bool
hasNewcomer(const CellState& aCell, bool aByCapacity)
{
  std::map<Incarnation, std::size_t> counts;
  for (const auto& [incarnation, member] : aCell.mMembers) {
    if (mayOwn(aCell, incarnation)) {
      counts[incarnation] = 0;
    }
  }
  for (const Ownership& shard : aCell.mShards) {
    const auto it = counts.find(shard.mOwner);
    if (it != counts.end()) {
      ++it->second;
    }
  }
  const std::size_t even =
    aCell.mShards.size() / std::max<std::size_t>(counts.size(), 1);
  // With traffic a slow member has few by its measured capacity.
  const std::size_t fewShards =
    aByCapacity ? std::max<std::size_t>(1, even / kFewPart) : even / 2;
  return std::any_of(counts.begin(), counts.end(), [&](const auto& aCount) {
    return aCount.second < fewShards;
  });
}

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

CoordinatorDuty::CoordinatorDuty(ControlContext& aContext, OrderHooks aOrderOwn)
  : mContext(aContext)
  , mOrderOwn(std::move(aOrderOwn))
  , mBalancer(aContext.mSettings.isPlatform() ? Balancer::capacityBasedOptions()
                                              : Balancer::Options{})
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
  orderMoves(now);
}

bool
CoordinatorDuty::proposeZones()
{
  const config::Model* model = mContext.mFleet.model();
  const CellState& cell = mContext.mFleet.ownCell();
  const std::uint64_t version = mContext.mFleet.modelVersion();
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
  const CellState& cell = mContext.mFleet.ownCell();
  if (awaitsFirstReports(cell) &&
      aNow - mMembersChangedAt < kFirstReportsWait) {
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
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      mProposing = false;
      logEvent(LogLevel::Info,
               "assign",
               { { "applied", aEnd == ProposalEnd::Applied } });
    });
  return true;
}

KeyLayout
CoordinatorDuty::layoutForAssignment() const
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
      return mayOwn(cell, aEntry.first);
    });
  return byReport ? layoutForMembers(static_cast<std::size_t>(members))
                  : layoutOf(cell);
}

void
CoordinatorDuty::onReport(const wire::LoadReportT& aReport)
{
  mBalancer.onReport(aReport, mContext.mFleet.ownCell(), mContext.mNow());
}

void
CoordinatorDuty::orderMoves(Millis aNow)
{
  if (aNow < mNextMoves || aNow - mMembersChangedAt < kSettleTime) {
    return;
  }
  mNextMoves = aNow + kMovesInterval;
  // Shards of a platform's numbered keys lie scattered, so that hot keys do.
  if (!mContext.mSettings.isPlatform() &&
      !hasNewcomer(mContext.mFleet.ownCell(), false)) {
    orderKeys(aNow);
  }
  orderShards(aNow);
}

void
CoordinatorDuty::orderShards(Millis aNow)
{
  const CellState& cell = mContext.mFleet.ownCell();
  std::map<Incarnation, std::vector<wire::ShardGrant>> byOwner;
  const std::vector<wire::ShardGrant> moves = planShards(aNow);
  for (const wire::ShardGrant& grant : moves) {
    byOwner[cell.mShards.at(grant.shard()).mOwner].push_back(grant);
  }
  logBalance(moves.size(), byOwner.size(), aNow);
  for (const auto& [owner, grants] : byOwner) {
    sendShards(owner, grants);
  }
}

void
CoordinatorDuty::logBalance(std::size_t aMoves,
                            std::size_t aOwners,
                            Millis aNow)
{
  if (aMoves == 0 && aNow < mNextBalanceLog) {
    return;
  }
  mNextBalanceLog = aNow + kBalanceLogInterval;
  const CellState& cell = mContext.mFleet.ownCell();
  const Balancer::Summary summary =
    mBalancer.summarize(cell, mayBeGiven(), aNow);
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
CoordinatorDuty::orderKeys(Millis aNow)
{
  std::map<Incarnation, std::vector<wire::SplitKeyT>> byOwner;
  for (const wire::SplitKeyT& move :
       mBalancer.planKeyMoves(mContext.mFleet.ownCell(), mayBeGiven(), aNow)) {
    byOwner[move.incarnation].push_back(move);
  }
  for (const auto& [owner, moves] : byOwner) {
    sendKeys(owner, moves);
  }
}

Balancer::MayOwnFn
CoordinatorDuty::mayBeGiven() const
{
  const CellState& cell = mContext.mFleet.ownCell();
  return [&cell, suspects = mContext.mSuspects()](Incarnation aMember) {
    return mayOwn(cell, aMember) &&
           std::ranges::find(suspects, aMember) == suspects.end();
  };
}

std::vector<wire::ShardGrant>
CoordinatorDuty::planShards(Millis aNow)
{
  const CellState& cell = mContext.mFleet.ownCell();
  const bool byCapacity =
    mContext.mSettings.isPlatform() && mBalancer.hasTraffic();
  if (hasNewcomer(cell, byCapacity)) {
    InFlightHeadroom headroom = mBalancer.headroom(cell);
    const auto take = [&](Shard aShard, Incarnation aMember) {
      return headroom.take(aMember, mBalancer.inFlightAt(aShard, aMember));
    };
    return planEvenSpread(cell, kSpreadShards, mContext.mSuspects(), take);
  }
  return mBalancer.planMoves(cell, mayBeGiven(), aNow);
}

void
CoordinatorDuty::sendShards(Incarnation aOwner,
                            std::span<const wire::ShardGrant> aGrants)
{
  if (aOwner == mContext.mSelf) {
    mOrderOwn.mShards(aGrants);
    return;
  }
  wire::MoveOrderT order;
  order.coordinator = mContext.mSelf;
  order.grants.assign(aGrants.begin(), aGrants.end());
  mContext.mSend(aOwner, makeBody(std::move(order)));
}

void
CoordinatorDuty::sendKeys(Incarnation aOwner,
                          std::span<const wire::SplitKeyT> aKeys)
{
  if (aOwner == mContext.mSelf) {
    mOrderOwn.mKeys(aKeys);
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

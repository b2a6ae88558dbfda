#include "radishroad/ownership/handoff.h"
#include "unit/cell_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace radishroad;
using radishroad::testing::CellLog;

namespace {

std::map<Incarnation, std::size_t>
countsOf(const CellState& aState)
{
  std::map<Incarnation, std::size_t> counts;
  for (const Ownership& ownership : aState.mShards) {
    ++counts[ownership.mOwner];
  }
  return counts;
}

/// Four members with 64 shards each.
CellLog
balancedCell()
{
  CellLog log = CellLog::withFourMembers();
  wire::AssignT assign;
  assign.grants = planInitialAssignment(log.mState);
  log.append(std::move(assign));
  return log;
}

/// Appends the moves of a plan as releases by their owners.
void
applyMoves(CellLog& aLog, const std::vector<wire::ShardGrant>& aGrants)
{
  std::map<Incarnation, std::vector<wire::ShardGrant>> byOwner;
  for (const wire::ShardGrant& grant : aGrants) {
    byOwner[aLog.mState.mShards[grant.shard()].mOwner].push_back(grant);
  }
  for (const auto& [owner, grants] : byOwner) {
    BOOST_TEST((aLog.release(owner, grants) == FoldVerdict::Applied));
  }
}

}

BOOST_AUTO_TEST_SUITE(handoff)

BOOST_AUTO_TEST_CASE(initial_assignment_spreads_all_shards_evenly)
{
  CellLog log = CellLog::withFourMembers();
  const std::vector<wire::ShardGrant> grants =
    planInitialAssignment(log.mState);
  BOOST_TEST(grants.size() == kShardCount);
  wire::AssignT assign;
  assign.grants = grants;
  BOOST_TEST((log.append(std::move(assign)) == FoldVerdict::Applied));
  const std::map<Incarnation, std::size_t> counts = countsOf(log.mState);
  BOOST_TEST(counts.size() == 4U);
  for (const auto& [owner, count] : counts) {
    BOOST_TEST(count == kShardCount / 4);
  }
  BOOST_TEST(planInitialAssignment(log.mState).empty());
}

// All daemons start at once and their upstreams report 200 ms apart, as on the
// platform. Shards assigned to the first members that report would have to move
// again.
BOOST_AUTO_TEST_CASE(initial_assignment_waits_for_first_reports)
{
  CellLog log = CellLog::withFourMembers();
  BOOST_TEST(!awaitsFirstReports(log.mState));
  for (auto& [incarnation, member] : log.mState.mMembers) {
    member.mUpstreamDown = true;
  }
  std::uint64_t life = 1;
  for (auto& [incarnation, member] : log.mState.mMembers) {
    BOOST_TEST(awaitsFirstReports(log.mState));
    member.mUpstreamDown = false;
    member.mUpstreamIncarnation = life++;
  }
  BOOST_TEST(!awaitsFirstReports(log.mState));
  wire::AssignT assign;
  assign.grants = planInitialAssignment(log.mState);
  BOOST_TEST((log.append(std::move(assign)) == FoldVerdict::Applied));
  for (const auto& [incarnation, count] : countsOf(log.mState)) {
    BOOST_TEST(count == kShardCount / 4);
  }
  BOOST_TEST(planRebalance(log.mState, kShardCount).empty());
}

// Once any shard has an owner, a shard without one is assigned at once.
BOOST_AUTO_TEST_CASE(later_members_without_reports_delay_nothing)
{
  CellLog log = balancedCell();
  log.mState.mMembers.begin()->second.mUpstreamDown = true;
  BOOST_TEST(!awaitsFirstReports(log.mState));
}

BOOST_AUTO_TEST_CASE(initial_assignment_skips_drained_members)
{
  CellLog log = CellLog::withFourMembers();
  log.zonesOut(1, { "a" });
  log.drain("vm-3", true);
  for (const wire::ShardGrant& grant : planInitialAssignment(log.mState)) {
    BOOST_TEST(grant.to() == 4U);
  }
  log.drain("vm-4", true);
  BOOST_TEST(planInitialAssignment(log.mState).empty());
}

BOOST_AUTO_TEST_CASE(evacuation_is_bounded_and_spread_over_the_rest)
{
  CellLog log = balancedCell();
  BOOST_TEST(planEvacuation(log.mState, 1, 10).size() == 10U);
  log.drain("vm-1", true);
  const std::vector<wire::ShardGrant> grants =
    planEvacuation(log.mState, 1, kShardCount);
  BOOST_TEST(grants.size() == kShardCount / 4);
  applyMoves(log, grants);
  std::map<Incarnation, std::size_t> counts = countsOf(log.mState);
  BOOST_TEST(!counts.contains(1));
  for (const Incarnation owner : { 2, 3, 4 }) {
    BOOST_TEST(counts[owner] >= 85U);
    BOOST_TEST(counts[owner] <= 86U);
  }
  BOOST_TEST((log.leave(1) == FoldVerdict::Applied));
}

BOOST_AUTO_TEST_CASE(two_owners_that_drain_at_once_load_the_rest_evenly)
{
  CellLog log = balancedCell();
  log.zonesOut(1, { "a" });
  // Both plan from the same state, unaware of each other.
  const std::vector<wire::ShardGrant> first =
    planEvacuation(log.mState, 1, kShardCount);
  const std::vector<wire::ShardGrant> second =
    planEvacuation(log.mState, 2, kShardCount);
  applyMoves(log, first);
  applyMoves(log, second);
  std::map<Incarnation, std::size_t> counts = countsOf(log.mState);
  BOOST_TEST(counts.size() == 2U);
  BOOST_TEST(counts[3] >= kShardCount / 2 - 1);
  BOOST_TEST(counts[4] >= kShardCount / 2 - 1);
}

BOOST_AUTO_TEST_CASE(evacuation_without_a_target_is_empty)
{
  CellLog log = balancedCell();
  log.zonesOut(1, { "a", "b" });
  BOOST_TEST(planEvacuation(log.mState, 1, 10).empty());
}

BOOST_AUTO_TEST_CASE(unresponsive_members_are_assigned_nothing)
{
  CellLog log = balancedCell();
  log.join(5, "c", { 1, 2, 3 });
  const std::vector<Incarnation> unresponsive{ 3, 5 };
  for (const wire::ShardGrant& grant :
       planEvacuation(log.mState, 1, kShardCount, unresponsive)) {
    BOOST_TEST((grant.to() == 2U || grant.to() == 4U));
  }
  BOOST_TEST(planRebalance(log.mState, kShardCount, unresponsive).empty());
  CellLog fresh = CellLog::withFourMembers();
  for (const wire::ShardGrant& grant :
       planInitialAssignment(fresh.mState, unresponsive)) {
    BOOST_TEST(grant.to() != 3U);
  }
}

BOOST_AUTO_TEST_CASE(split_keys_are_evacuated_as_well)
{
  constexpr std::uint64_t kKey = 0xABCDEF0123456789ULL;
  CellLog log = balancedCell();
  const Ownership owner = log.mState.mShards[shardOf(kKey)];
  const Incarnation other = owner.mOwner == 1 ? 2 : 1;
  BOOST_TEST((log.split(owner.mOwner, kKey, owner.mEpoch, other) ==
              FoldVerdict::Applied));
  BOOST_TEST(planSplitKeyEvacuation(log.mState, owner.mOwner, 10).empty());
  const std::vector<wire::SplitKeyT> moves =
    planSplitKeyEvacuation(log.mState, other, 10);
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].to != other);
  BOOST_TEST((log.append(moves[0]) == FoldVerdict::Applied));
  BOOST_TEST(ownerOf(log.mState, kKey).mOwner == moves[0].to);
}

BOOST_AUTO_TEST_CASE(rebalance_moves_only_what_a_new_member_needs)
{
  CellLog log = balancedCell();
  BOOST_TEST(planRebalance(log.mState, kShardCount).empty());
  log.join(5, "a", { 1, 2, 3 });
  const std::vector<wire::ShardGrant> grants =
    planRebalance(log.mState, kShardCount);
  BOOST_TEST(grants.size() == kShardCount / 5);
  BOOST_TEST(planRebalance(log.mState, 7).size() == 7U);
  for (const wire::ShardGrant& grant : grants) {
    BOOST_TEST(grant.to() == 5U);
  }
  applyMoves(log, grants);
  BOOST_TEST(planRebalance(log.mState, kShardCount).empty());
  for (const auto& [owner, count] : countsOf(log.mState)) {
    BOOST_TEST(count >= kShardCount / 5);
    BOOST_TEST(count <= kShardCount / 5 + 1);
  }
}

BOOST_AUTO_TEST_CASE(rebalance_skips_shards_of_a_draining_member)
{
  CellLog log = balancedCell();
  log.drain("vm-1", true);
  log.join(5, "a", { 1, 2, 3 });
  const std::vector<wire::ShardGrant> grants =
    planRebalance(log.mState, kShardCount);
  BOOST_TEST(grants.size() == 3 * kShardCount / 16);
  for (const wire::ShardGrant& grant : grants) {
    BOOST_TEST(log.mState.mShards[grant.shard()].mOwner != 1U);
    BOOST_TEST(grant.to() == 5U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

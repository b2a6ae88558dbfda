#include "radishroad/ownership/grant_manager.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::size_t kUnlimited = 100000;
constexpr Millis kHoldTime{ 3000 };

std::vector<GrantableShard>
allShards(Epoch aEpoch)
{
  std::vector<GrantableShard> shards;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    shards.push_back({ shard, aEpoch });
  }
  return shards;
}

GrantManager
managerOf(Shard aShard, Epoch aEpoch)
{
  GrantManager manager;
  manager.setHoldTime(kHoldTime);
  const GrantableShard holding{ aShard, aEpoch };
  manager.setGrantableShards({ &holding, 1 });
  return manager;
}

void
grantAll(GrantManager& aManager, Millis aNow)
{
  for (const KeyGrant& grant : aManager.dueGrants(kUnlimited, aNow)) {
    aManager.onGranted(grant, aNow, aNow + 2_ms);
  }
}

}

BOOST_AUTO_TEST_SUITE(grant_manager)

BOOST_AUTO_TEST_CASE(each_key_belongs_to_one_run_and_one_shard)
{
  std::set<std::uint64_t> hashes;
  for (std::uint32_t key = 0; key < kNumberedKeys; ++key) {
    const std::uint64_t hash = KeyLayout().hashOfKeyNumber(key);
    BOOST_REQUIRE(hashes.insert(hash).second);
    BOOST_REQUIRE(KeyLayout().keyNumberOfHash(hash) == key);
    BOOST_REQUIRE(shardOf(hash) ==
                  KeyLayout::shardOfRun(KeyLayout().runOfHash(hash)));
    const KeyRange range = KeyLayout().rangeOfRun(KeyLayout().runOfHash(hash));
    BOOST_REQUIRE((range.mFirst <= key && key <= range.mLast));
  }
}

BOOST_AUTO_TEST_CASE(hot_key_range_is_spread_over_many_shards)
{
  // A range of 200 adjacent keys receives almost half of the requests for
  // several seconds.
  std::set<Shard> shards;
  for (std::uint32_t key = 30000; key < 30200; ++key) {
    shards.insert(shardOf(KeyLayout().hashOfKeyNumber(key)));
  }
  BOOST_TEST(shards.size() >= 200 / kDefaultRunKeys);
}

BOOST_AUTO_TEST_CASE(adjacent_keys_of_one_epoch_are_merged_into_one_grant)
{
  GrantManager manager;
  manager.setHoldTime(kHoldTime);
  manager.setGrantableShards(allShards(1));
  const std::vector<KeyGrant> grants = manager.dueGrants(kUnlimited, 0_ms);
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST((grants[0].mKeys == KeyRange{ 0, kNumberedKeys - 1 }));
}

BOOST_AUTO_TEST_CASE(key_is_held_from_the_answer_until_the_hold_time_ends)
{
  GrantManager manager = managerOf(7, 4);
  const std::uint64_t key = KeyLayout().hashOfKeyNumber(7 * kDefaultRunKeys);
  const std::vector<KeyGrant> grants = manager.dueGrants(kUnlimited, 100_ms);
  BOOST_TEST(grants.size() == KeyLayout().runsPerShard());
  BOOST_TEST(!manager.holds(key, 4, 101_ms));
  for (const KeyGrant& grant : grants) {
    manager.onGranted(grant, 100_ms, 102_ms);
  }
  BOOST_TEST(manager.holds(key, 4, 102_ms));
  BOOST_TEST(!manager.holds(key, 5, 102_ms));
  BOOST_TEST(!manager.holds(key, 4, 100_ms + kHoldTime));
}

BOOST_AUTO_TEST_CASE(grants_are_renewed_well_before_they_expire)
{
  GrantManager manager = managerOf(7, 4);
  grantAll(manager, 0_ms);
  BOOST_TEST(manager.dueGrants(kUnlimited, 500_ms).empty());
  BOOST_TEST((*manager.nextDue(500_ms) == 1000_ms));
  grantAll(manager, 1000_ms);
  BOOST_TEST(manager.holds(
    KeyLayout().hashOfKeyNumber(7 * kDefaultRunKeys), 4, 3900_ms));
}

BOOST_AUTO_TEST_CASE(a_released_shard_is_free_at_once)
{
  GrantManager manager = managerOf(7, 4);
  grantAll(manager, 0_ms);
  manager.setGrantableShards({});
  BOOST_TEST((manager.freeFrom(7, 10_ms) > kHoldTime));
  for (const std::uint32_t run : KeyLayout().runsOfShard(7)) {
    manager.onReleased(run);
  }
  BOOST_TEST((manager.freeFrom(7, 10_ms) == 10_ms));
}

BOOST_AUTO_TEST_CASE(unanswered_grant_may_take_effect_after_the_release)
{
  // Unanswered grants may be carried out seconds later, and their hold time
  // counts from their arrival.
  GrantManager manager = managerOf(7, 4);
  for (const KeyGrant& grant : manager.dueGrants(kUnlimited, 0_ms)) {
    manager.onUnanswered(grant, 300_ms);
  }
  manager.setGrantableShards({});
  for (const std::uint32_t run : KeyLayout().runsOfShard(7)) {
    manager.onReleased(run);
  }
  BOOST_TEST((manager.freeFrom(7, 400_ms) >= 300_ms + kHoldTime));
  BOOST_TEST((manager.freeFrom(7, 400_ms) <=
              300_ms + GrantManager::longestHold(kHoldTime)));
}

BOOST_AUTO_TEST_CASE(new_process_assumes_that_keys_are_held)
{
  // The previous process may just have granted the keys. If the new process
  // handed them off at once, two upstreams would hold them.
  GrantManager manager = managerOf(7, 4);
  manager.assumeHeld(50_ms);
  BOOST_TEST((manager.freeFrom(7, 60_ms) >= 50_ms + kHoldTime));
  manager.clearHolds();
  BOOST_TEST((manager.freeFrom(7, 60_ms) == 60_ms));
}

// OWNER: a grant that was under way at a restart may reach the new process.
BOOST_AUTO_TEST_CASE(a_grant_in_flight_stays_counted_after_a_restart)
{
  GrantManager manager = managerOf(7, 4);
  const std::vector<KeyGrant> grants = manager.dueGrants(kUnlimited, 0_ms);
  manager.onRestarted();
  BOOST_TEST(manager.isGrantInFlight(7));
  BOOST_TEST(manager.dueGrants(kUnlimited, 1_ms).empty());
  for (const KeyGrant& grant : grants) {
    manager.onUnanswered(grant, 300_ms);
  }
  manager.setGrantableShards({});
  BOOST_TEST((manager.freeFrom(7, 301_ms) >= 300_ms + kHoldTime));
}

// OWNER: the new process may have been granted keys before its first report.
BOOST_AUTO_TEST_CASE(keys_may_be_held_after_a_restart_until_released)
{
  GrantManager manager = managerOf(7, 4);
  grantAll(manager, 0_ms);
  manager.onRestarted();
  const std::uint64_t key = KeyLayout().hashOfKeyNumber(7 * kDefaultRunKeys);
  BOOST_TEST(!manager.holds(key, 4, 3_ms));
  BOOST_TEST((manager.freeFrom(7, 3_ms) >= kHoldTime));
  BOOST_TEST((*manager.nextDue(3_ms) == 3_ms));
  for (const std::uint32_t run : KeyLayout().runsOfShard(7)) {
    manager.onReleased(run);
  }
  BOOST_TEST((manager.freeFrom(7, 4_ms) == 4_ms));
}

// OWNER: a grant that was under way when its process ended may reach the next.
BOOST_AUTO_TEST_CASE(a_grant_in_flight_stays_counted_when_the_process_ends)
{
  GrantManager manager = managerOf(7, 4);
  const std::vector<KeyGrant> grants = manager.dueGrants(kUnlimited, 0_ms);
  manager.clearHolds();
  BOOST_TEST(manager.isGrantInFlight(7));
  BOOST_TEST((manager.freeFrom(7, 1_ms) >= kHoldTime));
}

// A grant that never left delayed the next owner by a hold time.
BOOST_AUTO_TEST_CASE(a_grant_that_was_not_sent_is_not_counted)
{
  GrantManager manager = managerOf(7, 4);
  grantAll(manager, 0_ms);
  const Millis before = manager.freeFrom(7, 10_ms);
  for (const KeyGrant& grant : manager.dueGrants(kUnlimited, 1000_ms)) {
    manager.onNotSent(grant, 1010_ms);
  }
  BOOST_TEST(!manager.isGrantInFlight(7));
  BOOST_TEST((manager.freeFrom(7, 1020_ms) == before));
}

BOOST_AUTO_TEST_CASE(longest_hold_allows_for_a_slow_clock)
{
  BOOST_TEST((GrantManager::longestHold(kHoldTime) >= kHoldTime * 102 / 100));
}

BOOST_AUTO_TEST_CASE(tokens_are_sent_with_the_first_grant_of_a_later_epoch)
{
  GrantManager manager = managerOf(7, 4);
  std::vector<std::string> tokens(KeyLayout().runsPerShard(), "token");
  manager.onHandover(7, 3, tokens, 0_ms);
  const std::vector<KeyGrant> first = manager.dueGrants(kUnlimited, 1_ms);
  BOOST_TEST(std::ranges::all_of(
    first, [](const KeyGrant& aGrant) { return aGrant.mHandover == "token"; }));
  for (const KeyGrant& grant : first) {
    manager.onGranted(grant, 1_ms, 2_ms);
  }
  for (const KeyGrant& grant : manager.dueGrants(kUnlimited, 2000_ms)) {
    BOOST_TEST(grant.mHandover.empty());
  }
}

BOOST_AUTO_TEST_CASE(tokens_of_the_same_epoch_are_not_sent)
{
  GrantManager manager = managerOf(7, 4);
  manager.onHandover(
    7, 4, std::vector<std::string>(KeyLayout().runsPerShard(), "x"), 0_ms);
  for (const KeyGrant& grant : manager.dueGrants(kUnlimited, 1_ms)) {
    BOOST_TEST(grant.mHandover.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

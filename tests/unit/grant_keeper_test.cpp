#include "radishroad/ownership/grant_keeper.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::size_t kMany = 100000;
constexpr Millis kHold{ 3000 };

std::vector<Holding>
allShards(Epoch aEpoch)
{
  std::vector<Holding> holdings;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    holdings.push_back({ shard, aEpoch });
  }
  return holdings;
}

GrantKeeper
keeperOf(Shard aShard, Epoch aEpoch)
{
  GrantKeeper keeper;
  keeper.setHoldTime(kHold);
  const Holding holding{ aShard, aEpoch };
  keeper.setHoldings({ &holding, 1 });
  return keeper;
}

void
grantAll(GrantKeeper& aKeeper, Millis aNow)
{
  for (const GrantOrder& order : aKeeper.due(kMany, aNow)) {
    aKeeper.onGranted(order, aNow, aNow + 2_ms);
  }
}

}

BOOST_AUTO_TEST_SUITE(grant_keeper)

BOOST_AUTO_TEST_CASE(each_key_belongs_to_one_run_and_one_shard)
{
  std::set<std::uint64_t> hashes;
  for (std::uint32_t key = 0; key < kNumberedKeys; ++key) {
    const std::uint64_t hash = KeyLayout().hashOfNumber(key);
    BOOST_REQUIRE(hashes.insert(hash).second);
    BOOST_REQUIRE(KeyLayout().numberOfHash(hash) == key);
    BOOST_REQUIRE(shardOf(hash) ==
                  KeyLayout::shardOfRun(KeyLayout().runOfHash(hash)));
    const KeyRange range = KeyLayout().rangeOfRun(KeyLayout().runOfHash(hash));
    BOOST_REQUIRE((range.mFirst <= key && key <= range.mLast));
  }
}

BOOST_AUTO_TEST_CASE(a_hot_run_of_keys_falls_on_many_shards)
{
  // 200 neighbouring keys get almost half of the requests for seconds.
  std::set<Shard> shards;
  for (std::uint32_t key = 30000; key < 30200; ++key) {
    shards.insert(shardOf(KeyLayout().hashOfNumber(key)));
  }
  BOOST_TEST(shards.size() >= 200 / kDefaultRunKeys);
}

BOOST_AUTO_TEST_CASE(keys_in_a_row_with_one_epoch_take_one_order)
{
  GrantKeeper keeper;
  keeper.setHoldTime(kHold);
  keeper.setHoldings(allShards(1));
  const std::vector<GrantOrder> orders = keeper.due(kMany, 0_ms);
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].mKeys == KeyRange{ 0, kNumberedKeys - 1 }));
}

BOOST_AUTO_TEST_CASE(a_key_is_held_from_the_answer_until_the_hold_ends)
{
  GrantKeeper keeper = keeperOf(7, 4);
  const std::uint64_t key = KeyLayout().hashOfNumber(7 * kDefaultRunKeys);
  const std::vector<GrantOrder> orders = keeper.due(kMany, 100_ms);
  BOOST_TEST(orders.size() == KeyLayout().runsPerShard());
  BOOST_TEST(!keeper.holds(key, 4, 101_ms));
  for (const GrantOrder& order : orders) {
    keeper.onGranted(order, 100_ms, 102_ms);
  }
  BOOST_TEST(keeper.holds(key, 4, 102_ms));
  BOOST_TEST(!keeper.holds(key, 5, 102_ms));
  BOOST_TEST(!keeper.holds(key, 4, 100_ms + kHold));
}

BOOST_AUTO_TEST_CASE(holds_are_renewed_well_before_they_end)
{
  GrantKeeper keeper = keeperOf(7, 4);
  grantAll(keeper, 0_ms);
  BOOST_TEST(keeper.due(kMany, 500_ms).empty());
  BOOST_TEST((*keeper.nextDue(500_ms) == 1000_ms));
  grantAll(keeper, 1000_ms);
  BOOST_TEST(
    keeper.holds(KeyLayout().hashOfNumber(7 * kDefaultRunKeys), 4, 3900_ms));
}

BOOST_AUTO_TEST_CASE(a_released_shard_is_free_at_once)
{
  GrantKeeper keeper = keeperOf(7, 4);
  grantAll(keeper, 0_ms);
  keeper.setHoldings({});
  BOOST_TEST((keeper.freeFrom(7, 10_ms) > kHold));
  for (const std::uint32_t run : KeyLayout().runsOfShard(7)) {
    keeper.onReleased(run);
  }
  BOOST_TEST((keeper.freeFrom(7, 10_ms) == 10_ms));
}

BOOST_AUTO_TEST_CASE(an_unanswered_grant_may_be_carried_out_after_the_release)
{
  // Orders that get no answer are carried out seconds later; their time counts
  // from their arrival.
  GrantKeeper keeper = keeperOf(7, 4);
  for (const GrantOrder& order : keeper.due(kMany, 0_ms)) {
    keeper.onUnanswered(order, 300_ms);
  }
  keeper.setHoldings({});
  for (const std::uint32_t run : KeyLayout().runsOfShard(7)) {
    keeper.onReleased(run);
  }
  BOOST_TEST((keeper.freeFrom(7, 400_ms) >= 300_ms + kHold));
  BOOST_TEST(
    (keeper.freeFrom(7, 400_ms) <= 300_ms + GrantKeeper::longestHold(kHold)));
}

BOOST_AUTO_TEST_CASE(a_new_process_takes_the_keys_for_held)
{
  // Its predecessor may have granted them a moment ago; handed off at once,
  // two upstreams would hold them.
  GrantKeeper keeper = keeperOf(7, 4);
  keeper.assumeHeld(50_ms);
  BOOST_TEST((keeper.freeFrom(7, 60_ms) >= 50_ms + kHold));
  keeper.forget();
  BOOST_TEST((keeper.freeFrom(7, 60_ms) == 60_ms));
}

BOOST_AUTO_TEST_CASE(a_slow_clock_is_allowed_for)
{
  BOOST_TEST((GrantKeeper::longestHold(kHold) >= kHold * 102 / 100));
}

BOOST_AUTO_TEST_CASE(tokens_go_with_the_first_grant_of_a_later_epoch)
{
  GrantKeeper keeper = keeperOf(7, 4);
  std::vector<std::string> tokens(KeyLayout().runsPerShard(), "token");
  keeper.onHandover(7, 3, tokens, 0_ms);
  const std::vector<GrantOrder> first = keeper.due(kMany, 1_ms);
  BOOST_TEST(std::ranges::all_of(first, [](const GrantOrder& aOrder) {
    return aOrder.mHandover == "token";
  }));
  for (const GrantOrder& order : first) {
    keeper.onGranted(order, 1_ms, 2_ms);
  }
  for (const GrantOrder& order : keeper.due(kMany, 2000_ms)) {
    BOOST_TEST(order.mHandover.empty());
  }
}

BOOST_AUTO_TEST_CASE(tokens_of_the_same_epoch_are_not_for_this_holder)
{
  GrantKeeper keeper = keeperOf(7, 4);
  keeper.onHandover(
    7, 4, std::vector<std::string>(KeyLayout().runsPerShard(), "x"), 0_ms);
  for (const GrantOrder& order : keeper.due(kMany, 1_ms)) {
    BOOST_TEST(order.mHandover.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include "radishroad/config/freshness.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using config::Freshness;

namespace {

constexpr Millis kStart = 100_s;
constexpr Millis kSettled = kStart + Freshness::kSettleTime;

/// Has read position 5 at kSettled.
Freshness
settled()
{
  Freshness freshness;
  freshness.onApplied(5);
  freshness.onRead(5, kStart, kStart, false);
  freshness.onRead(5, kSettled, kSettled, false);
  return freshness;
}

}

BOOST_AUTO_TEST_SUITE(freshness)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_a_read)
{
  Freshness freshness;
  freshness.onApplied(5);
  BOOST_TEST(!freshness.asOf().has_value());
}

// A daemon that started on a restored copy took it for all that is confirmed.
BOOST_AUTO_TEST_CASE(the_first_reads_of_a_process_may_be_of_a_copy)
{
  Freshness freshness;
  freshness.onRead(5, kStart, kStart, false);
  BOOST_TEST(!freshness.asOf().has_value());
  freshness.onRead(5, kSettled - 1_ms, kSettled - 1_ms, false);
  BOOST_TEST(!freshness.asOf().has_value());
  freshness.onRead(5, kSettled, kSettled, false);
  BOOST_TEST((freshness.asOf() == kSettled));
}

BOOST_AUTO_TEST_CASE(a_restored_store_tells_nothing_until_it_is_written_again)
{
  Freshness freshness = settled();
  const Millis restoredAt = kSettled + 10_s;
  freshness.onRead(9, restoredAt, restoredAt, true);
  BOOST_TEST(!freshness.asOf().has_value());
  freshness.onRead(9, restoredAt + 1_s, restoredAt + 1_s, false);
  BOOST_TEST(!freshness.asOf().has_value());
  freshness.onRead(9,
                   restoredAt + Freshness::kSettleTime,
                   restoredAt + Freshness::kSettleTime,
                   false);
  BOOST_TEST((freshness.asOf() == restoredAt + Freshness::kSettleTime));
}

// The read that noticed the restore had been sent long before it.
BOOST_AUTO_TEST_CASE(the_time_to_write_again_begins_with_the_answer)
{
  Freshness freshness = settled();
  const Millis restoredAt = kSettled + 10_s;
  freshness.onRead(9, kSettled, restoredAt, true);
  freshness.onRead(9, restoredAt + 1_s, restoredAt + 1_s, false);
  BOOST_TEST(!freshness.asOf().has_value());
}

// A peer vouched by its position alone, though it had not asked the store.
BOOST_AUTO_TEST_CASE(a_peer_at_the_same_position_passes_on_what_the_store_told)
{
  Freshness freshness = settled();
  freshness.onPeer(5, kSettled + 3_s);
  BOOST_TEST((freshness.asOf() == kSettled + 3_s));
  freshness.onPeer(5, kSettled + 1_s);
  BOOST_TEST((freshness.asOf() == kSettled + 3_s));
  for (const std::uint64_t other : { 4, 6 }) {
    freshness.onPeer(other, kSettled + 9_s);
  }
  BOOST_TEST((freshness.asOf() == kSettled + 3_s));
}

BOOST_AUTO_TEST_CASE(a_read_from_before_an_entry_was_applied_tells_nothing)
{
  Freshness freshness = settled();
  freshness.onApplied(6);
  freshness.onRead(5, kSettled + 1_s, kSettled + 1_s, false);
  BOOST_TEST((freshness.asOf() == kSettled));
}

BOOST_AUTO_TEST_CASE(an_unreadable_configuration_hides_what_is_allowed)
{
  Freshness freshness = settled();
  freshness.setReadable(false);
  freshness.onRead(6, kSettled + 1_s, kSettled + 1_s, false);
  BOOST_TEST(!freshness.asOf().has_value());
  freshness.setReadable(true);
  BOOST_TEST((freshness.asOf() == kSettled + 1_s));
}

BOOST_AUTO_TEST_CASE(requests_are_refused_for_good_within_the_time_to_apply)
{
  BOOST_TEST(!config::mayRefuseForGood(std::nullopt, 5_s, 2_s));
  BOOST_TEST(config::mayRefuseForGood(3_s, 5_s, 2_s));
  BOOST_TEST(!config::mayRefuseForGood(2999_ms, 5_s, 2_s));
  BOOST_TEST(config::mayRefuseForGood(6_s, 5_s, 2_s));
}

// An age below 0 was logged, and -1 read as "never".
BOOST_AUTO_TEST_CASE(what_was_learned_after_the_request_has_no_negative_age)
{
  BOOST_TEST(config::configAge(1000_ms, 1500_ms) == 500);
  BOOST_TEST(config::configAge(1501_ms, 1500_ms) == 0);
  BOOST_TEST(config::configAge(std::nullopt, 1500_ms) == -1);
}

BOOST_AUTO_TEST_SUITE_END()

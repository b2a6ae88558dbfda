#include "radishroad/config/zone_outage.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::config;
using namespace radishroad::literals;

namespace {

constexpr Millis kTimeLimit{ 5000 };

Millis
serveKeysUntil(std::optional<Millis> aInServiceAt, Millis aLearnedAt)
{
  return makeZoneOutage(aInServiceAt, aLearnedAt, kTimeLimit).mServeKeysUntil;
}

}

BOOST_AUTO_TEST_SUITE(zone_outage)

// A daemon that was frozen or cut off learned late, and counted the time from
// then.
BOOST_AUTO_TEST_CASE(learning_late_extends_the_service_of_keys)
{
  BOOST_TEST((serveKeysUntil(10_s, 13500_ms) <= 14_s));
  BOOST_TEST((serveKeysUntil(10_s, 20_s) <= 14_s));
}

// A daemon that has just started cannot know how long the zone has been out.
BOOST_AUTO_TEST_CASE(a_fresh_process_serves_keys_of_a_zone_out_of_service)
{
  BOOST_TEST((serveKeysUntil(std::nullopt, 20_s) <= 20_s));
}

// All peers may learn late together, so that their answers prove little.
BOOST_AUTO_TEST_CASE(no_time_is_left_for_news_that_reach_all_peers_late)
{
  constexpr Millis kDelay{ 3000 };
  BOOST_TEST((serveKeysUntil(20_s, 20_s) <= 20_s + kTimeLimit - kDelay));
}

BOOST_AUTO_TEST_CASE(keys_are_served_while_they_are_handed_off)
{
  BOOST_TEST((serveKeysUntil(19750_ms, 20_s) >= 22_s));
}

BOOST_AUTO_TEST_SUITE_END()

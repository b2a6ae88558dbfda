#include "radishroad/policy/cold_start_limiter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr double kPerSecond = 18;

}

BOOST_AUTO_TEST_SUITE(cold_start_limiter)

BOOST_AUTO_TEST_CASE(simultaneous_retries_do_not_overload_a_cold_upstream)
{
  // Far more requests wait at all times than a cold upstream can run.
  ColdStartLimiter limit;
  limit.setRate(kPerSecond);
  limit.onCold(3000_ms, 0_ms);
  std::vector<Millis> sent;
  for (Millis now; now < 3000_ms; now += 1_ms) {
    while (limit.maySend(now)) {
      limit.onSent(now);
      sent.push_back(now);
    }
  }
  for (const Millis from : sent) {
    const auto within = std::ranges::count_if(
      sent, [from](Millis aAt) { return aAt >= from && aAt < from + 1000_ms; });
    BOOST_TEST(static_cast<double>(within) <= kPerSecond * 1.5 + 5);
  }
  BOOST_TEST(static_cast<double>(sent.size()) >= kPerSecond * 2.5);
}

BOOST_AUTO_TEST_CASE(warm_upstream_is_not_limited)
{
  ColdStartLimiter limit;
  limit.setRate(kPerSecond);
  for (int n = 0; n < 1000; ++n) {
    BOOST_REQUIRE(limit.maySend(1_ms));
    limit.onSent(1_ms);
  }
  limit.onCold(100_ms, 1_ms);
  BOOST_TEST(limit.isCold(50_ms));
  BOOST_TEST(!limit.isCold(101_ms));
}

BOOST_AUTO_TEST_CASE(warm_report_ends_the_limit)
{
  ColdStartLimiter limit;
  limit.setRate(kPerSecond);
  limit.onCold(3000_ms, 0_ms);
  limit.onCold(0_ms, 500_ms);
  BOOST_TEST(!limit.isCold(501_ms));
}

BOOST_AUTO_TEST_CASE(repeated_cold_report_gives_no_new_burst)
{
  ColdStartLimiter limit;
  limit.setRate(kPerSecond);
  limit.onCold(3000_ms, 0_ms);
  limit.onSent(0_ms);
  limit.onCold(2990_ms, 10_ms);
  BOOST_TEST(!limit.maySend(10_ms));
  BOOST_TEST((limit.nextSend(10_ms) > 10_ms));
}

BOOST_AUTO_TEST_SUITE_END()

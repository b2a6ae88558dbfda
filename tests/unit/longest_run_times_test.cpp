#include "radishroad/policy/longest_run_times.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::uint32_t kPage = 1;
constexpr std::uint32_t kReport = 2;

}

BOOST_AUTO_TEST_SUITE(longest_run_times)

BOOST_AUTO_TEST_CASE(longest_time_is_kept_by_kind)
{
  LongestRunTimes times;
  BOOST_TEST(!times.longest(kPage, 1_s).has_value());
  times.add(kPage, 300_ms, 1_s);
  times.add(kPage, 200_ms, 2_s);
  times.add(kReport, 3_s, 2_s);
  BOOST_TEST((times.longest(kPage, 3_s) == 300_ms));
  BOOST_TEST((times.longest(kReport, 3_s) == 3_s));
}

BOOST_AUTO_TEST_CASE(times_are_forgotten)
{
  LongestRunTimes times;
  times.add(kPage, 3_s, 1_s);
  times.add(kPage, 100_ms, 40_s);
  BOOST_TEST((times.longest(kPage, 41_s) == 3_s));
  BOOST_TEST((times.longest(kPage, 80_s) == 100_ms));
  BOOST_TEST(!times.longest(kPage, 200_s).has_value());
}

BOOST_AUTO_TEST_CASE(what_ends_by_its_deadline_or_by_its_kind_is_taken)
{
  LongestRunTimes times;
  times.add(kPage, 400_ms, 1_s);
  BOOST_TEST(times.willEndBy(5_s, 5_s, kReport, 2_s));
  BOOST_TEST(!times.willEndBy(5_s, 9_s, kReport, 2_s));
  BOOST_TEST(times.willEndBy(5_s, 9_s, kPage, 4500_ms));
  BOOST_TEST(!times.willEndBy(5_s, 9_s, kPage, 4501_ms));
}

BOOST_AUTO_TEST_CASE(memory_for_kinds_is_bounded)
{
  LongestRunTimes times;
  for (std::uint32_t kind = 1; kind < 10000; ++kind) {
    times.add(kind, Millis{ kind }, 1_s);
  }
  BOOST_TEST((times.longest(9999, 1_s) == 9999_ms));
  BOOST_TEST((times.longest(5000, 1_s) == 9999_ms));
}

BOOST_AUTO_TEST_SUITE_END()

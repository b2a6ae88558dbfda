#include "radishroad/config/check_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;
using config::CheckPlan;

namespace {

constexpr Millis kConfigTime{ 3000 };
constexpr Millis kStep{ 65 };
constexpr Millis kDay{ 30000 };
constexpr Millis kRoundTrip{ 10 };

struct Counts
{
  int mStore = 0;
  int mCoordinator = 0;
  Millis mOldest;
};

/// Replays a cell whose members learn nothing by their leases. The coordinator
/// answers from aAnswersFrom on.
Counts
replay(std::size_t aMembers, Millis aAnswersFrom)
{
  std::vector<CheckPlan> plans(aMembers);
  std::vector<Millis> asOf(aMembers, Millis{ 1000 });
  Counts counts;
  for (Millis now = 1000_ms; now < 1000_ms + kDay; now = now + kStep) {
    for (std::size_t n = 0; n < aMembers; ++n) {
      counts.mOldest = std::max(counts.mOldest, now - asOf[n]);
      switch (plans[n].next(n == 0, asOf[n], kConfigTime, now)) {
        case CheckPlan::Action::AskStore:
          ++counts.mStore;
          asOf[n] = now;
          break;
        case CheckPlan::Action::AskCoordinator:
          ++counts.mCoordinator;
          if (now >= aAnswersFrom) {
            asOf[n] = std::max(asOf[n], asOf[0] - kRoundTrip);
          }
          break;
        case CheckPlan::Action::None:
          break;
      }
    }
  }
  return counts;
}

}

BOOST_AUTO_TEST_SUITE(check_plan)

// Each of 119 members asked the store every 2.4 s.
BOOST_AUTO_TEST_CASE(calls_to_the_store_do_not_grow_with_the_cell)
{
  const Counts small = replay(14, {});
  const Counts large = replay(119, {});
  BOOST_TEST(large.mStore == small.mStore);
  BOOST_TEST(large.mStore <= kDay.mCount / 900);
  BOOST_TEST((large.mOldest < kConfigTime * 80 / 100));
}

BOOST_AUTO_TEST_CASE(members_ask_the_store_if_the_coordinator_is_silent)
{
  const Counts counts = replay(20, Millis::max());
  BOOST_TEST(counts.mStore >= 19 * 12);
  BOOST_TEST((counts.mOldest <= kConfigTime * 80 / 100 + kStep));
}

BOOST_AUTO_TEST_CASE(unknown_age_asks_at_once)
{
  CheckPlan plan;
  BOOST_TEST((plan.next(false, std::nullopt, kConfigTime, 1_s) ==
              CheckPlan::Action::AskStore));
  BOOST_TEST((plan.next(false, std::nullopt, kConfigTime, 1_s) ==
              CheckPlan::Action::AskCoordinator));
  BOOST_TEST((plan.next(false, std::nullopt, kConfigTime, 1_s) ==
              CheckPlan::Action::None));
}

BOOST_AUTO_TEST_SUITE_END()

#include "radishroad/ownership/expel_driver.h"
#include "radishroad/ownership/lease_holder.h"
#include "unit/cell_log.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Incarnation kSelf = 1;
constexpr Incarnation kMember = 2;

/// Members 1, 3 and 4 witness for member 2.
CellLog
witnessedCell()
{
  CellLog log;
  log.join(kSelf, "a");
  log.join(3, "b");
  log.join(4, "c");
  log.join(kMember, "a", { kSelf, 3, 4 });
  return log;
}

ReceivedRenewal
renewalOf(std::uint32_t aVersion, Millis aAt)
{
  return { { kMember, aVersion }, aAt, aAt };
}

void
rewitness(CellLog& aLog)
{
  wire::RewitnessT change;
  change.incarnation = kMember;
  change.base_version = 0;
  change.witnesses = { kSelf, 4 };
  BOOST_REQUIRE((aLog.append(std::move(change)) == FoldVerdict::Applied));
}

}

BOOST_AUTO_TEST_SUITE(expel_driver)

// Seen at the start of a fleet: members replace their witnesses while renewals
// are under way. The coordinator took healthy members for silent until the next
// change of the state, gave them no shards, and so changed nothing.
BOOST_AUTO_TEST_CASE(late_renewal_of_a_replaced_label_makes_no_suspect)
{
  CellLog log = witnessedCell();
  ExpelDriver driver(kSelf);
  driver.onState(log.mState, 0_ms);
  rewitness(log);
  driver.onState(log.mState, 100_ms);
  driver.onRenew(renewalOf(0, 90_ms), 110_ms);
  for (Millis now = 200_ms; now < 20_s; now += 200_ms) {
    driver.onRenew(renewalOf(1, now), now);
    BOOST_REQUIRE(driver.suspects(now).empty());
  }
}

BOOST_AUTO_TEST_CASE(member_that_stops_to_renew_is_suspected)
{
  CellLog log = witnessedCell();
  ExpelDriver driver(kSelf);
  driver.onState(log.mState, 0_ms);
  driver.onRenew(renewalOf(0, 100_ms), 110_ms);
  BOOST_TEST(driver.suspects(200_ms).empty());
  const std::set<Incarnation> expected{ kMember };
  BOOST_TEST(driver.suspects(10_s) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

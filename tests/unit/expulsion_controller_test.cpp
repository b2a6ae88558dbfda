#include "radishroad/ownership/expulsion_controller.h"
#include "radishroad/ownership/lease_holder.h"
#include "unit/cell_log.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Incarnation kSelf = 1;
constexpr Incarnation kMember = 2;

/// Members 1, 3 and 4 are the witnesses of member 2.
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

BOOST_AUTO_TEST_SUITE(expulsion_controller)

// When a fleet starts, members replace their witnesses while renewals are in
// flight. A renewal that arrived after its lease was replaced made its healthy
// member a suspect until the next change of the state. The coordinator then
// assigned no shards to that member, so the state did not change.
BOOST_AUTO_TEST_CASE(late_renewal_of_replaced_lease_raises_no_suspicion)
{
  CellLog log = witnessedCell();
  ExpulsionController controller(kSelf);
  controller.onState(log.mState, 0_ms);
  rewitness(log);
  controller.onState(log.mState, 100_ms);
  controller.onRenew(renewalOf(0, 90_ms), 110_ms);
  for (Millis now = 200_ms; now < 20_s; now += 200_ms) {
    controller.onRenew(renewalOf(1, now), now);
    BOOST_REQUIRE(controller.suspects(now).empty());
  }
}

BOOST_AUTO_TEST_CASE(member_that_stops_renewing_is_suspected)
{
  CellLog log = witnessedCell();
  ExpulsionController controller(kSelf);
  controller.onState(log.mState, 0_ms);
  controller.onRenew(renewalOf(0, 100_ms), 110_ms);
  BOOST_TEST(controller.suspects(200_ms).empty());
  const std::set<Incarnation> expected{ kMember };
  BOOST_TEST(controller.suspects(10_s) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

#include "support/failures.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Limit for every key to be answered again after the last failure has ended.
constexpr Millis kMaxRecoveryTime = 6_s;

/// Injects two failures on two VMs that overlap; the failures, the VMs and the
/// times are drawn from the seed. A daemon that exited because it was expelled
/// is restarted, as the VM's supervisor would do.
void
checkTwoFailures(std::uint64_t aSeed)
{
  Scenario::Options options("two_failures-" + std::to_string(aSeed), aSeed);
  options.mRelays = true;
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::vector<Failure> failures = failuresForPairs();
  const Failure& first = failures[scenario.draw() % failures.size()];
  const Failure& second = failures[scenario.draw() % failures.size()];
  const std::string vm = scenario.drawVm("catalog");
  const std::string otherVm = scenario.drawVm("library");
  BOOST_TEST_MESSAGE(first.mName << " at " << vm << ", " << second.mName
                                 << " at " << otherVm);
  scenario.startTraffic({ vm, otherVm }, "ms=10");
  scenario.runTrafficFor(500_ms, 1500_ms);
  first.mBegin(fleet, vm);
  scenario.runTrafficFor(0_ms, 1500_ms);
  second.mBegin(fleet, otherVm);
  scenario.runTrafficFor(1_s, 3_s);
  first.mEnd(fleet, vm);
  second.mEnd(fleet, otherVm);
  const std::int64_t failuresEndedMs = wallNow().mCount;
  for (const std::string& failedVm : { vm, otherVm }) {
    if (!fleet.process(failedVm, Role::Daemon)->isRunning()) {
      fleet.start(failedVm, Role::Daemon);
    }
  }
  scenario.runTrafficFor(kMaxRecoveryTime, kMaxRecoveryTime);
  Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkRecovered(std::move(observations), failuresEndedMs, kMaxRecoveryTime);
}

}

BOOST_AUTO_TEST_SUITE(two_failures)

BOOST_AUTO_TEST_CASE(seed_71)
{
  checkTwoFailures(71);
}

BOOST_AUTO_TEST_CASE(seed_72)
{
  checkTwoFailures(72);
}

BOOST_AUTO_TEST_CASE(seed_73)
{
  checkTwoFailures(73);
}

BOOST_AUTO_TEST_CASE(seed_74)
{
  checkTwoFailures(74);
}

BOOST_AUTO_TEST_CASE(seed_75)
{
  checkTwoFailures(75);
}

BOOST_AUTO_TEST_CASE(seed_76)
{
  checkTwoFailures(76);
}

BOOST_AUTO_TEST_CASE(seed_77)
{
  checkTwoFailures(77);
}

BOOST_AUTO_TEST_CASE(seed_78)
{
  checkTwoFailures(78);
}

BOOST_AUTO_TEST_SUITE_END()

}

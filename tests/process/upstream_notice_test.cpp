#include "support/notice_check.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr double kLimitPerSecond = 8;
/// Less than an upstream has slots for.
constexpr double kLowLimitPerSecond = 1;

/// Kills and starts the daemon of the VM again.
Disturbance
restartDaemon(Scenario& aScenario, const std::string& aVm)
{
  Disturbance disturbance{ aVm, wallNow().mCount };
  aScenario.fleet().kill(aVm, Role::Daemon);
  aScenario.fleet().start(aVm, Role::Daemon);
  disturbance.mToMs = wallNow().mCount;
  return disturbance;
}

/// Requests that reached the VM's upstream after the given wall time.
std::size_t
runsAfter(const Observations& aObservations,
          const std::string& aVm,
          std::int64_t aWallMs)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aObservations.mRuns, [&](const RequestRun& aRun) {
      return aRun.mVm == aVm && aRun.mStartMs > aWallMs;
    }));
}

}

BOOST_AUTO_TEST_SUITE(upstream_notice)

// An upstream in need gets more requests than the limit that it names.
BOOST_AUTO_TEST_CASE(named_limit_is_kept)
{
  Scenario scenario({ "named_limit", 71 });
  const std::string vm = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=5");
  scenario.runTrafficFor(1_s, 1_s);
  scenario.fleet().setUpstreamFaults(
    vm, { { "limit_per_second", kLimitPerSecond } });
  scenario.runTrafficFor(9_s, 9_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findLimitExcesses(scenario.fleet(), observations, {}));
}

// The daemon beside an upstream in need restarts, and other VMs' requests are
// sent on without the limit that these VMs have seen.
BOOST_AUTO_TEST_CASE(named_limit_is_kept_when_its_daemon_restarts)
{
  Scenario::Options options("named_limit_restart", 72);
  options.mCatalog = 2;
  options.mLibrary = 3;
  Scenario scenario(options);
  const std::string vm = scenario.drawVm("catalog");
  scenario.startTraffic({ vm }, "ms=200");
  scenario.runTrafficFor(1_s, 1_s);
  scenario.fleet().setUpstreamFaults(
    vm, { { "limit_per_second", kLowLimitPerSecond } });
  scenario.runTrafficFor(4_s, 4_s);
  std::vector<Disturbance> disturbances;
  for (int n = 0; n < 3; ++n) {
    disturbances.push_back(restartDaemon(scenario, vm));
    scenario.runTrafficFor(4_s, 4_s);
  }
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  BOOST_TEST(runsAfter(observations, vm, disturbances.front().mToMs) > 0U);
  expectNoViolations(
    findLimitExcesses(scenario.fleet(), observations, disturbances));
}

// An upstream says in its responses that it leaves and keeps getting requests.
BOOST_AUTO_TEST_CASE(leaving_upstream_gets_no_requests)
{
  Scenario scenario({ "leaving_upstream", 73 });
  const std::string vm = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=5");
  scenario.runTrafficFor(1_s, 1_s);
  scenario.fleet().setUpstreamFaults(vm, { { "leaving", true } });
  scenario.runTrafficFor(2_s, 2_s);
  const std::vector<Disturbance> disturbances{ restartDaemon(scenario, vm) };
  scenario.runTrafficFor(4_s, 4_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findRequestsToLeavingUpstreams(
    scenario.fleet(), observations, disturbances));
}

BOOST_AUTO_TEST_SUITE_END()

}

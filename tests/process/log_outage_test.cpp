#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Limit for the recovery, from the return of the log.
constexpr Millis kMaxRecoveryTime = 5_s;
/// Limit for one takeover through a log that is slow and loses answers.
constexpr Millis kMaxSlowTakeoverTime = 3_s;
constexpr Millis kConfigTimeout = 16_s;

bool
hasVersion(const Fleet& aFleet, const std::string& aVm, std::uint64_t aVersion)
{
  const nlohmann::json state = aFleet.state(aVm);
  return state.is_object() && state.value("config_version", 0U) == aVersion;
}

bool
allHaveVersion(const Fleet& aFleet, std::uint64_t aVersion)
{
  for (const char* service : { "catalog", "library" }) {
    for (const std::string& vm : aFleet.vmsOf(service)) {
      if (!hasVersion(aFleet, vm, aVersion)) {
        return false;
      }
    }
  }
  return true;
}

}

BOOST_AUTO_TEST_SUITE(log_outage)

BOOST_AUTO_TEST_CASE(owners_keep_serving)
{
  Scenario scenario({ "outage_owners", 31 });
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic();
  scenario.runTrafficFor(500_ms, 1_s);
  fleet.setLogFaults({ { "outage", true } });
  // Longer than the lease and than the age at which a configuration is stale.
  scenario.runTrafficFor(8_s, 8_s);
  fleet.setLogFaults({ { "outage", false } });
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 1));
  BOOST_TEST(waitFor([&] { return allHaveVersion(fleet, 2); }, kConfigTimeout));
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(daemon_lost_during_outage_is_replaced_afterwards)
{
  Scenario scenario({ "outage_loss", 32 });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({ affectedVm });
  scenario.runTrafficFor(500_ms, 1_s);
  fleet.setLogFaults({ { "outage", true } });
  scenario.runTrafficFor(1_s, 2_s);
  fleet.kill(affectedVm, Role::Daemon);
  scenario.runTrafficFor(3_s, 3_s);
  fleet.setLogFaults({ { "outage", false } });
  const std::int64_t logRestored = wallNow().mCount;
  scenario.runTrafficFor(4_s, 4_s);
  Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  // Unavailability counts from the return of the log.
  std::erase_if(observations.mResults, [&](const tools::LoadResult& aResult) {
    const auto latency = static_cast<std::int64_t>(aResult.mLatencyMs);
    return aResult.mEndedWallMs - latency < logRestored;
  });
  checkMaxUnavailability(observations, kMaxRecoveryTime);
}

BOOST_AUTO_TEST_CASE(lost_answers_and_slow_log)
{
  Scenario scenario({ "outage_lost_answers", 33 });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({ affectedVm });
  fleet.setLogFaults({ { "lose_answers_every", 2 }, { "slow_ms", 100 } });
  scenario.runTrafficFor(1_s, 2_s);
  fleet.kill(affectedVm, Role::Daemon);
  scenario.runTrafficFor(4_s, 4_s);
  fleet.start(affectedVm, Role::Daemon);
  BOOST_TEST(waitFor([&] { return fleet.isReady(affectedVm); }, 20_s));
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkMaxUnavailability(observations, kMaxSlowTakeoverTime);
}

BOOST_AUTO_TEST_SUITE_END()

}

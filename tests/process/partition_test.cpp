#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr Millis kMaxTakeoverTime = 2_s;
constexpr Millis kConfigTimeout = 16_s;

Scenario::Options
optionsWithRelays(const std::string& aName, std::uint64_t aSeed)
{
  Scenario::Options options(aName, aSeed);
  options.mRelays = true;
  return options;
}

}

BOOST_AUTO_TEST_SUITE(partition)

BOOST_AUTO_TEST_CASE(from_the_log)
{
  Scenario scenario(optionsWithRelays("cut_log", 41));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic();
  fleet.isolateFromLog(affectedVm, true);
  scenario.runTrafficFor(7_s, 8_s);
  // The daemon receives a new configuration through its peers.
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 1));
  const bool hasNewVersion = waitFor(
    [&] { return fleet.state(affectedVm).value("config_version", 0U) == 2U; },
    kConfigTimeout);
  BOOST_TEST(hasNewVersion);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(from_the_log_while_drained)
{
  Scenario scenario(optionsWithRelays("cut_log_drained", 46));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic();
  scenario.runTrafficFor(1_s, 2_s);
  fleet.isolateFromLog(affectedVm, true);
  // The daemon learns of the drain from its peers, but cannot hand off any
  // shard without the log.
  BOOST_TEST(fleet.drain(affectedVm, true));
  scenario.runTrafficFor(5_s, 6_s);
  fleet.isolateFromLog(affectedVm, false);
  scenario.runTrafficFor(4_s, 4_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(from_peers)
{
  Scenario scenario(optionsWithRelays("cut_peers", 42));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("library");
  scenario.startTraffic({ affectedVm }, "ms=10");
  scenario.runTrafficFor(1_s, 2_s);
  fleet.isolateFromPeers(affectedVm, true);
  scenario.runTrafficFor(4_s, 4_s);
  fleet.isolateFromPeers(affectedVm, false);
  scenario.runTrafficFor(2_s, 2_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkMaxUnavailability(observations, kMaxTakeoverTime);
}

BOOST_AUTO_TEST_CASE(from_log_and_peers)
{
  Scenario scenario(optionsWithRelays("cut_all", 43));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  // Callers still reach the daemon that is cut off.
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(1_s, 2_s);
  fleet.isolate(affectedVm, true);
  scenario.runTrafficFor(4_s, 5_s);
  fleet.isolate(affectedVm, false);
  scenario.runTrafficFor(2_s, 2_s);
  checkInvariants(scenario.stopTraffic());
}

BOOST_AUTO_TEST_CASE(from_peers_one_way)
{
  Scenario scenario(optionsWithRelays("cut_one_way", 44));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("library");
  scenario.startTraffic({ affectedVm }, "ms=10");
  scenario.runTrafficFor(1_s, 2_s);
  // The daemon can send to its peers, but receives nothing from them.
  fleet.setLinkRule({ { "link", "peer-*" },
                      { "source", fleet.ip(affectedVm) },
                      { "hold_back", true } });
  fleet.setLinkRule(
    { { "link", "peer-" + affectedVm }, { "hold_forward", true } });
  scenario.runTrafficFor(4_s, 4_s);
  fleet.setLinkRule({ { "link", "*" } });
  scenario.runTrafficFor(2_s, 2_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkMaxUnavailability(observations, kMaxTakeoverTime);
}

BOOST_AUTO_TEST_CASE(of_a_whole_zone)
{
  Scenario scenario(optionsWithRelays("cut_zone", 45));
  Fleet& fleet = scenario.fleet();
  const std::set<std::string> zone = { "catalog-2", "library-2" };
  scenario.startTraffic(zone, "ms=10");
  scenario.runTrafficFor(1_s, 2_s);
  for (const std::string& vm : zone) {
    fleet.isolate(vm, true);
  }
  scenario.runTrafficFor(5_s, 5_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  checkMaxUnavailability(observations, kMaxTakeoverTime);
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "support/scenario.h"
#include "support/trace_recorder.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

/// Scenarios from which scripts/record-traces.sh records the traces in
/// tests/traces.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Takeover wait of library: run_limit of examples/guild plus the daemon's
/// margin.
constexpr Millis kLibraryTakeoverWait = 400_ms;

Scenario::Options
recordingOptions(const std::string& aName, std::uint64_t aSeed)
{
  Scenario::Options options("trace_" + aName, aSeed);
  options.mRelays = true;
  options.mDaemonArguments = { "--log-level", "debug" };
  return options;
}

void
finishRecording(Scenario& aScenario, const TraceSubject& aSubject)
{
  const Observations observations = aScenario.stopTraffic();
  checkInvariants(observations);
  recordTrace(aScenario.fleet(), aSubject, observations.mRuns);
}

}

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(loss_of_daemon)
{
  Scenario scenario(recordingOptions("loss_of_daemon", 301));
  const std::string affectedVm = scenario.drawVm("library");
  scenario.startTraffic({ affectedVm }, "ms=5");
  scenario.runTrafficFor(1_s, 1_s);
  scenario.fleet().kill(affectedVm, Role::Daemon);
  scenario.runTrafficFor(3_s, 3_s);
  finishRecording(scenario, { "library", affectedVm, kLibraryTakeoverWait });
}

BOOST_AUTO_TEST_CASE(one_way_cut)
{
  Scenario scenario(recordingOptions("one_way_cut", 302));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("library");
  scenario.startTraffic({ affectedVm }, "ms=10");
  scenario.runTrafficFor(1_s, 1_s);
  // The daemon can send to its peers, but receives nothing from them.
  fleet.setLinkRule({ { "link", "peer-*" },
                      { "source", fleet.ip(affectedVm) },
                      { "hold_back", true } });
  fleet.setLinkRule(
    { { "link", "peer-" + affectedVm }, { "hold_forward", true } });
  scenario.runTrafficFor(3_s, 3_s);
  fleet.setLinkRule({ { "link", "*" } });
  scenario.runTrafficFor(1_s, 1_s);
  finishRecording(scenario, { "library", affectedVm, kLibraryTakeoverWait });
}

BOOST_AUTO_TEST_CASE(log_outage_with_lost_answers)
{
  Scenario scenario(recordingOptions("log_outage_with_lost_answers", 303));
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({ affectedVm }, "ms=10");
  scenario.runTrafficFor(1_s, 1_s);
  fleet.setLogFaults({ { "outage", true }, { "lose_answers_every", 2 } });
  fleet.kill(affectedVm, Role::Daemon);
  scenario.runTrafficFor(2_s, 2_s);
  fleet.setLogFaults({ { "outage", false } });
  scenario.runTrafficFor(3_s, 3_s);
  finishRecording(scenario, { "catalog", affectedVm, {} });
}

BOOST_AUTO_TEST_CASE(racing_operators)
{
  Scenario scenario(recordingOptions("racing_operators", 304));
  Fleet& fleet = scenario.fleet();
  const std::string holder = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=5");
  std::thread other(
    [&] { fleet.publish(guildWithoutZone("worcester"), 1, "operator-b"); });
  fleet.publishFolder(Scenario::guildFolder(), 1);
  other.join();
  const bool hasNewVersion = waitFor(
    [&] { return fleet.state(holder).value("config_version", 0U) == 2U; },
    16_s);
  BOOST_TEST(hasNewVersion);
  scenario.runTrafficFor(1_s, 1_s);
  finishRecording(scenario, { "catalog", holder, {} });
}

BOOST_AUTO_TEST_CASE(zone_out_and_back)
{
  Scenario scenario(recordingOptions("zone_out_and_back", 305));
  Fleet& fleet = scenario.fleet();
  const std::string drainedVm = "library-2";
  scenario.startTraffic({}, "ms=5");
  scenario.runTrafficFor(500_ms, 500_ms);
  BOOST_TEST(fleet.publish(guildWithoutZone("worcester"), 1));
  scenario.runTrafficFor(4_s, 4_s);
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 2));
  const std::int64_t restored = wallNow().mCount;
  const auto servesAgain = [&] {
    const std::vector<RequestRun> runs = fleet.runs();
    return std::any_of(runs.begin(), runs.end(), [&](const RequestRun& aRun) {
      return aRun.mVm == drainedVm && aRun.mStartMs > restored;
    });
  };
  BOOST_TEST(waitFor(servesAgain, 20_s));
  finishRecording(scenario, { "library", drainedVm, kLibraryTakeoverWait });
}

BOOST_AUTO_TEST_SUITE_END()

}

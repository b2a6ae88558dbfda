#include "support/scenario.h"
#include "support/trace_recorder.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

/// Runs from which scripts/record-traces.sh takes the traces of tests/traces.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// run_limit of examples/guild and the daemon's margin, for library.
constexpr Millis kLibraryWait = 400_ms;

Scenario::Options
recorded(const std::string& aName, std::uint64_t aSeed)
{
  Scenario::Options options("trace_" + aName, aSeed);
  options.mRelays = true;
  options.mDaemonArguments = { "--log-level", "debug" };
  return options;
}

void
finish(Scenario& aScenario, const TraceSubject& aSubject)
{
  const Evidence evidence = aScenario.stopTraffic();
  checkAlways(evidence);
  recordTrace(aScenario.fleet(), aSubject, evidence.mRuns);
}

}

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(loss_of_daemon)
{
  Scenario scenario(recorded("loss_of_daemon", 301));
  const std::string victim = scenario.drawVm("library");
  scenario.startTraffic({ victim }, "ms=5");
  scenario.runOn(1_s, 1_s);
  scenario.fleet().kill(victim, Role::Daemon);
  scenario.runOn(3_s, 3_s);
  finish(scenario, { "library", victim, kLibraryWait });
}

BOOST_AUTO_TEST_CASE(one_way_cut)
{
  Scenario scenario(recorded("one_way_cut", 302));
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("library");
  scenario.startTraffic({ victim }, "ms=10");
  scenario.runOn(1_s, 1_s);
  // It sends, but hears nothing of its peers.
  fleet.setLink({ { "link", "peer-*" },
                  { "source", fleet.ip(victim) },
                  { "hold_back", true } });
  fleet.setLink({ { "link", "peer-" + victim }, { "hold_forward", true } });
  scenario.runOn(3_s, 3_s);
  fleet.setLink({ { "link", "*" } });
  scenario.runOn(1_s, 1_s);
  finish(scenario, { "library", victim, kLibraryWait });
}

BOOST_AUTO_TEST_CASE(log_outage_with_lost_answers)
{
  Scenario scenario(recorded("log_outage_with_lost_answers", 303));
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  scenario.startTraffic({ victim }, "ms=10");
  scenario.runOn(1_s, 1_s);
  fleet.setLogFaults({ { "outage", true }, { "lose_answers_every", 2 } });
  fleet.kill(victim, Role::Daemon);
  scenario.runOn(2_s, 2_s);
  fleet.setLogFaults({ { "outage", false } });
  scenario.runOn(3_s, 3_s);
  finish(scenario, { "catalog", victim, {} });
}

BOOST_AUTO_TEST_CASE(racing_operators)
{
  Scenario scenario(recorded("racing_operators", 304));
  Fleet& fleet = scenario.fleet();
  const std::string holder = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=5");
  std::thread other(
    [&] { fleet.publish(guildWithoutZone("worcester"), 1, "operator-b"); });
  fleet.publishFolder(Scenario::guildFolder(), 1);
  other.join();
  const bool inForce = waitFor(
    [&] { return fleet.state(holder).value("config_version", 0U) == 2U; },
    16_s);
  BOOST_TEST(inForce);
  scenario.runOn(1_s, 1_s);
  finish(scenario, { "catalog", holder, {} });
}

BOOST_AUTO_TEST_CASE(zone_out_and_back)
{
  Scenario scenario(recorded("zone_out_and_back", 305));
  Fleet& fleet = scenario.fleet();
  const std::string moved = "library-2";
  scenario.startTraffic({}, "ms=5");
  scenario.runOn(500_ms, 500_ms);
  BOOST_TEST(fleet.publish(guildWithoutZone("worcester"), 1));
  scenario.runOn(4_s, 4_s);
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 2));
  const std::int64_t back = wallNow().mCount;
  const auto servesAgain = [&] {
    const std::vector<Run> runs = fleet.runs();
    return std::any_of(runs.begin(), runs.end(), [&](const Run& aRun) {
      return aRun.mVm == moved && aRun.mStartMs > back;
    });
  };
  BOOST_TEST(waitFor(servesAgain, 20_s));
  finish(scenario, { "library", moved, kLibraryWait });
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "radishroad/config/folder.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <iterator>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// "A few seconds" after a drain.
constexpr Millis kDrainTime = 5_s;
/// For all daemons, signalled at once, to end.
constexpr Millis kFleetStopTime = 4_s;

std::vector<ConfigText>
guildWithout(const std::string& aZone)
{
  std::vector<ConfigText> files =
    config::readFolder(Scenario::guildFolder()).value();
  for (ConfigText& file : files) {
    const std::size_t zone = file.mText.find("  " + aZone + ":\n");
    if (zone != std::string::npos) {
      const std::size_t value = file.mText.find("true", zone);
      file.mText.replace(value, 4, "false");
    }
  }
  return files;
}

/// The daemons end by themselves within kFleetStopTime.
void
expectEnd(Fleet& aFleet, const std::vector<std::string>& aVms)
{
  const Millis start = monotonicNow();
  for (const std::string& vm : aVms) {
    const Millis left = start + kFleetStopTime - monotonicNow();
    const std::optional<int> ec =
      aFleet.process(vm, Role::Daemon)->waitForExit(left);
    BOOST_TEST((ec == 0), vm << " still runs");
  }
  BOOST_TEST_MESSAGE("stopped after " << (monotonicNow() - start).mCount
                                      << " ms");
}

/// Ends all daemons by SIGTERM at once under traffic.
void
stopWholeFleet(const std::string& aName, bool aLogOutage)
{
  Scenario scenario({ aName, 54 });
  Fleet& fleet = scenario.fleet();
  std::vector<std::string> vms = fleet.vmsOf("catalog");
  std::ranges::copy(fleet.vmsOf("library"), std::back_inserter(vms));
  scenario.startTraffic({}, "ms=50");
  scenario.runOn(1_s, 2_s);
  fleet.setLogFaults({ { "outage", aLogOutage } });
  for (const std::string& vm : vms) {
    fleet.signal(vm, Role::Daemon, SIGTERM);
  }
  expectEnd(fleet, vms);
  checkAlways(scenario.stopTraffic());
}

/// Ends a daemon by SIGTERM under traffic, also through it. Requests that
/// found its port closed are left out: it has stopped by then.
Evidence
stopOneDaemon(const std::string& aName)
{
  Scenario scenario({ aName, 53 });
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=50");
  scenario.runOn(1_s, 2_s);
  fleet.signal(victim, Role::Daemon, SIGTERM);
  const std::optional<int> ec =
    fleet.process(victim, Role::Daemon)->waitForExit(15_s);
  BOOST_TEST((ec == 0));
  scenario.runOn(1_s, 1_s);
  Evidence evidence = scenario.stopTraffic();
  std::erase_if(evidence.mResults, [](const tools::LoadResult& aResult) {
    return aResult.mError == "Couldn't connect to server";
  });
  return evidence;
}

}

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(of_vm)
{
  Scenario scenario({ "drain_vm", 51 });
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(1_s, 2_s);
  BOOST_TEST(fleet.drain(victim, true));
  const std::int64_t drained = wallNow().mCount;
  scenario.runOn(kDrainTime + 2_s, kDrainTime + 2_s);
  Evidence evidence = scenario.stopTraffic();
  checkAlways(evidence);
  expectNone(judgeAllAnswered(evidence.mResults));
  expectNone(
    judgeNoWorkAfter(evidence.mRuns, { victim }, drained + kDrainTime.mCount));
}

BOOST_AUTO_TEST_CASE(of_zone_and_back)
{
  Scenario scenario({ "drain_zone", 52 });
  Fleet& fleet = scenario.fleet();
  const std::set<std::string> zone = { "catalog-2", "library-2" };
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(1_s, 2_s);
  BOOST_TEST(fleet.publish(guildWithout("worcester"), 1));
  const std::int64_t drained = wallNow().mCount;
  scenario.runOn(kDrainTime + 2_s, kDrainTime + 2_s);
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 2));
  const std::int64_t back = wallNow().mCount;
  const auto servesAgain = [&] {
    for (const Run& run : fleet.runs()) {
      if (zone.contains(run.mVm) && run.mStartMs > back) {
        return true;
      }
    }
    return false;
  };
  BOOST_TEST(waitFor(servesAgain, 20_s));
  Evidence evidence = scenario.stopTraffic();
  checkAlways(evidence);
  expectNone(judgeAllAnswered(evidence.mResults));
  std::erase_if(evidence.mRuns,
                [&](const Run& aRun) { return aRun.mStartMs > back; });
  expectNone(
    judgeNoWorkAfter(evidence.mRuns, zone, drained + kDrainTime.mCount));
}

BOOST_AUTO_TEST_CASE(by_sigterm_cuts_no_request)
{
  Evidence evidence = stopOneDaemon("sigterm_cut");
  checkAlways(evidence);
  std::erase_if(evidence.mResults, [](const tools::LoadResult& aResult) {
    return aResult.mOutcome == "not-run";
  });
  expectNone(judgeAllAnswered(evidence.mResults));
}

BOOST_AUTO_TEST_CASE(by_sigterm_refuses_nothing)
{
  const Evidence evidence = stopOneDaemon("sigterm_refuse");
  expectNone(judgeAllAnswered(evidence.mResults));
}

BOOST_AUTO_TEST_CASE(of_a_whole_fleet_ends_soon)
{
  stopWholeFleet("sigterm_all", false);
}

BOOST_AUTO_TEST_CASE(of_a_whole_fleet_without_a_log_ends_soon)
{
  stopWholeFleet("sigterm_all_no_log", true);
}

BOOST_AUTO_TEST_CASE(of_the_last_daemon_left_ends_soon)
{
  Scenario scenario({ "sigterm_last", 55 });
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  fleet.setLogFaults({ { "outage", true } });
  for (std::size_t i = 1; i < vms.size(); ++i) {
    fleet.kill(vms[i], Role::Daemon);
  }
  fleet.signal(vms[0], Role::Daemon, SIGTERM);
  expectEnd(fleet, { vms[0] });
}

BOOST_AUTO_TEST_SUITE_END()

}

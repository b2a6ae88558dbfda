#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// "A few seconds" after a drain.
constexpr Millis kDrainTime = 5_s;

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
  BOOST_TEST(fleet.publish(guildWithoutZone("worcester"), 1));
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

BOOST_AUTO_TEST_SUITE_END()

}

#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// A drained VM or zone must start no work later than this ("a few seconds").
constexpr Millis kMaxDrainTime = 5_s;
/// Limit for all daemons to exit when they are signalled at once.
constexpr Millis kMaxFleetStopTime = 4_s;

/// VMs in availability zone worcester.
const std::set<std::string> kWorcesterVms = { "catalog-2", "library-2" };

/// Prints the latencies of requests sent within kMaxDrainTime of a zone
/// change, and how evenly work was spread over the service's VMs at the end of
/// that time.
void
printZoneChangeStatistics(const std::string& aLabel,
                          const Observations& aObservations,
                          const std::vector<std::string>& aVms,
                          std::int64_t aFromMs)
{
  constexpr std::int64_t kMeasuredMs = 2000;
  const std::int64_t endMs = aFromMs + kMaxDrainTime.mCount;
  std::vector<double> latencies;
  std::size_t unanswered = 0;
  for (const tools::LoadResult& result : aObservations.mResults) {
    const double sentMs =
      static_cast<double>(result.mEndedWallMs) - result.mLatencyMs;
    if (sentMs < static_cast<double>(aFromMs) ||
        sentMs >= static_cast<double>(endMs)) {
      continue;
    }
    latencies.push_back(result.mLatencyMs);
    unanswered += result.mStatus == 200 ? 0 : 1;
  }
  BOOST_REQUIRE(!latencies.empty());
  std::ranges::sort(latencies);
  std::map<std::string, double> runs;
  for (const std::string& vm : aVms) {
    runs[vm] = 0;
  }
  double sum = 0;
  double maxRuns = 0;
  for (const RequestRun& run : aObservations.mRuns) {
    const bool isMeasured =
      run.mStartMs >= endMs - kMeasuredMs && run.mStartMs < endMs;
    if (isMeasured && runs.contains(run.mVm)) {
      maxRuns = std::max(maxRuns, ++runs[run.mVm]);
      ++sum;
    }
  }
  BOOST_TEST_MESSAGE(aLabel
                     << ": " << latencies.size() << " sent, " << unanswered
                     << " not answered, p50 " << latencies[latencies.size() / 2]
                     << " ms, p99 " << latencies[latencies.size() * 99 / 100]
                     << " ms, worst " << latencies.back() << " ms, imbalance "
                     << maxRuns * static_cast<double>(runs.size()) / sum);
}

/// VMs of catalog outside the zone.
std::vector<std::string>
catalogVmsOutside(const Fleet& aFleet, const std::set<std::string>& aZone)
{
  std::vector<std::string> vms = aFleet.vmsOf("catalog");
  std::erase_if(vms,
                [&](const std::string& aVm) { return aZone.contains(aVm); });
  return vms;
}

/// Takes a zone out of service and back under traffic. Calls aWhileOut while
/// the zone has no work.
Observations
drainAndRestoreZone(Scenario& aScenario,
                    const std::set<std::string>& aZone,
                    const std::string& aQuery,
                    const std::function<void()>& aWhileOut)
{
  Fleet& fleet = aScenario.fleet();
  aScenario.startTraffic({}, aQuery);
  aScenario.runTrafficFor(1_s, 2_s);
  // Gives the daemons time to report their loads.
  aScenario.runTrafficFor(4_s, 4_s);
  BOOST_TEST(fleet.publish(guildWithoutZone("worcester"), 1));
  const std::int64_t drainedAtMs = wallNow().mCount;
  aScenario.runTrafficFor(kMaxDrainTime + 2_s, kMaxDrainTime + 2_s);
  aWhileOut();
  BOOST_TEST(fleet.publishFolder(Scenario::guildFolder(), 2));
  const std::int64_t restoredAtMs = wallNow().mCount;
  const auto servesAgain = [&] {
    for (const RequestRun& run : fleet.runs()) {
      if (aZone.contains(run.mVm) && run.mStartMs > restoredAtMs) {
        return true;
      }
    }
    return false;
  };
  BOOST_TEST(waitFor(servesAgain, 20_s));
  aScenario.runTrafficFor(kMaxDrainTime, kMaxDrainTime);
  Observations observations = aScenario.stopTraffic();
  printZoneChangeStatistics(
    "zone out", observations, catalogVmsOutside(fleet, aZone), drainedAtMs);
  printZoneChangeStatistics(
    "zone back", observations, fleet.vmsOf("catalog"), restoredAtMs);
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
  std::vector<RequestRun> before = observations.mRuns;
  std::erase_if(before, [&](const RequestRun& aRun) {
    return aRun.mStartMs > restoredAtMs;
  });
  expectNoViolations(
    findRunsAfter(before, aZone, drainedAtMs + kMaxDrainTime.mCount));
  return observations;
}

/// Checks that the daemons exit by themselves within kMaxFleetStopTime.
void
expectExit(Fleet& aFleet, const std::vector<std::string>& aVms)
{
  const Millis start = monotonicNow();
  for (const std::string& vm : aVms) {
    const Millis remaining = start + kMaxFleetStopTime - monotonicNow();
    const std::optional<int> exitCode =
      aFleet.process(vm, Role::Daemon)->waitForExit(remaining);
    BOOST_TEST((exitCode == 0), vm << " still runs");
  }
  BOOST_TEST_MESSAGE("stopped after " << (monotonicNow() - start).mCount
                                      << " ms");
}

/// Sends SIGTERM to all daemons at once under traffic.
void
stopWholeFleet(const std::string& aName, bool aLogOutage)
{
  Scenario scenario({ aName, 54 });
  Fleet& fleet = scenario.fleet();
  std::vector<std::string> vms = fleet.vmsOf("catalog");
  std::ranges::copy(fleet.vmsOf("library"), std::back_inserter(vms));
  scenario.startTraffic({}, "ms=50");
  scenario.runTrafficFor(1_s, 2_s);
  fleet.setLogFaults({ { "outage", aLogOutage } });
  for (const std::string& vm : vms) {
    fleet.signal(vm, Role::Daemon, SIGTERM);
  }
  expectExit(fleet, vms);
  checkInvariants(scenario.stopTraffic());
}

/// Sends SIGTERM to a daemon under traffic that also enters through it.
/// Requests that could not connect are left out: the daemon had stopped by
/// then.
Observations
stopOneDaemon(const std::string& aName)
{
  Scenario scenario({ aName, 53 });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=50");
  scenario.runTrafficFor(1_s, 2_s);
  fleet.signal(affectedVm, Role::Daemon, SIGTERM);
  const std::optional<int> exitCode =
    fleet.process(affectedVm, Role::Daemon)->waitForExit(15_s);
  BOOST_TEST((exitCode == 0));
  scenario.runTrafficFor(1_s, 1_s);
  Observations observations = scenario.stopTraffic();
  std::erase_if(observations.mResults, [](const tools::LoadResult& aResult) {
    return aResult.mError == "Couldn't connect to server";
  });
  return observations;
}

}

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(one_vm)
{
  Scenario scenario({ "drain_vm", 51 });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(1_s, 2_s);
  BOOST_TEST(fleet.drain(affectedVm, true));
  const std::int64_t drainedAtMs = wallNow().mCount;
  scenario.runTrafficFor(kMaxDrainTime + 2_s, kMaxDrainTime + 2_s);
  Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
  expectNoViolations(findRunsAfter(
    observations.mRuns, { affectedVm }, drainedAtMs + kMaxDrainTime.mCount));
}

BOOST_AUTO_TEST_CASE(zone_out_and_back)
{
  Scenario scenario({ "drain_zone", 52 });
  drainAndRestoreZone(scenario, kWorcesterVms, "ms=10", [] {});
}

BOOST_AUTO_TEST_CASE(zone_out_and_back_with_a_cold_upstream)
{
  // With an even share of the requests the upstream would hold more than its
  // cold slots.
  Scenario::Options options("drain_zone_cold", 54);
  options.mUpstreamArguments = { "--cold-slots", "2" };
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::string cold = "catalog-2";
  drainAndRestoreZone(scenario, kWorcesterVms, "ms=40", [&] {
    fleet.kill(cold, Role::Upstream);
    fleet.start(cold, Role::Upstream);
    const auto hasStarted = [&] {
      return countEvents(fleet, { cold }, "start") == 2U;
    };
    BOOST_TEST(waitFor(hasStarted, 5_s));
    fleet.setUpstreamFaults(cold, { { "cold_ms", 10000 } });
    const auto isCold = [&] {
      return countEvents(fleet, { cold }, "cold") == 1U;
    };
    BOOST_TEST(waitFor(isCold, 5_s));
  });
  BOOST_TEST(countEvents(fleet, { cold }, "fell_over") == 0U);
}

BOOST_AUTO_TEST_CASE(sigterm_interrupts_no_request)
{
  Observations observations = stopOneDaemon("sigterm_cut");
  checkInvariants(observations);
  std::erase_if(observations.mResults, [](const tools::LoadResult& aResult) {
    return aResult.mOutcome == "not-run";
  });
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(sigterm_refuses_no_request)
{
  const Observations observations = stopOneDaemon("sigterm_refuse");
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(sigterm_to_the_whole_fleet_exits_in_time)
{
  stopWholeFleet("sigterm_all", false);
}

// A library whose static objects were never destroyed kept stopped processes
// until they were killed. Their last lines must be written all the same.
BOOST_AUTO_TEST_CASE(sigterm_ends_a_process_whose_library_is_not_torn_down)
{
  Scenario::Options options("sigterm_teardown", 55);
  options.mDaemonProgram = "naive_teardown";
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("library");
  fleet.signal(vms.front(), Role::Daemon, SIGTERM);
  expectExit(fleet, { vms.front() });
  std::ifstream file(fleet.folder() / (vms.front() + ".daemon.1.out"));
  const std::string output(std::istreambuf_iterator<char>(file), {});
  BOOST_TEST(output.find("\"event\":\"stop\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(sigterm_to_the_whole_fleet_without_a_log_exits_in_time)
{
  stopWholeFleet("sigterm_all_no_log", true);
}

BOOST_AUTO_TEST_CASE(sigterm_to_the_last_daemon_exits_in_time)
{
  Scenario scenario({ "sigterm_last", 55 });
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  fleet.setLogFaults({ { "outage", true } });
  for (std::size_t i = 1; i < vms.size(); ++i) {
    fleet.kill(vms[i], Role::Daemon);
  }
  fleet.signal(vms[0], Role::Daemon, SIGTERM);
  expectExit(fleet, { vms[0] });
}

BOOST_AUTO_TEST_SUITE_END()

}

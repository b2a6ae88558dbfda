#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Time within which a daemon without a safeguard must show a violation.
constexpr Millis kDetectionTimeout = 10_s;
constexpr Millis kExpelTimeout = 5_s;
constexpr int kUnauthenticatedKeyCount = 12;
constexpr const char* kRealDaemon = "radishroadd";
constexpr const char* kNaiveLease = "naive_lease";
constexpr const char* kNaiveRetry = "naive_retry";

Scenario::Options
optionsFor(const std::string& aName,
           std::uint64_t aSeed,
           const std::string& aProgram)
{
  Scenario::Options options(aName + "-" + aProgram, aSeed);
  options.mRelays = true;
  options.mDaemonProgram = aProgram;
  return options;
}

Violations
findOwnershipViolations(const Fleet& aFleet)
{
  const std::vector<RequestRun> runs = aFleet.runs();
  Violations violations = findOwnerOverlaps(runs);
  const Violations epochRegressions = findEpochRegressions(runs);
  violations.insert(
    violations.end(), epochRegressions.begin(), epochRegressions.end());
  return violations;
}

Violations
findRetryViolations(const Fleet& aFleet)
{
  return findRepeatedRuns(aFleet.runs());
}

using ViolationFinder = std::function<Violations(const Fleet&)>;

/// Waits until a naive daemon shows a violation, and fails the test if it does
/// not. The real daemon just runs for 4 s, in which a naive one would show it.
void
waitForViolations(Scenario& aScenario,
                  const std::string& aProgram,
                  const ViolationFinder& aFindViolations)
{
  const Fleet& fleet = aScenario.fleet();
  if (aProgram == kRealDaemon) {
    aScenario.runTrafficFor(4_s, 4_s);
    return;
  }
  const bool found =
    waitFor([&] { return !aFindViolations(fleet).empty(); }, kDetectionTimeout);
  BOOST_TEST(found, "no violation was found with " << aProgram);
}

/// Checks the complete run: the real daemon must show no violation, a naive
/// daemon at least one.
void
stopAndCheckTraffic(Scenario& aScenario,
                    const std::string& aProgram,
                    const ViolationFinder& aFindViolations)
{
  const Observations observations = aScenario.stopTraffic();
  const Violations violations = aFindViolations(aScenario.fleet());
  if (aProgram == kRealDaemon) {
    checkInvariants(observations);
    return;
  }
  BOOST_TEST(!violations.empty());
  if (!violations.empty()) {
    BOOST_TEST_MESSAGE(aProgram << ": " << violations.size()
                                << " violations, such as "
                                << violations.front());
  }
}

bool
isExpelled(const Fleet& aFleet,
           const std::string& aVm,
           const std::string& aObserverVm)
{
  const nlohmann::json state = aFleet.state(aObserverVm);
  if (!state.is_object()) {
    return false;
  }
  for (const nlohmann::json& member : state["cells"]["catalog"]["members"]) {
    if (member.value("vm", "") == aVm) {
      return member.value("status", "") == "expelled";
    }
  }
  return false;
}

/// The VM of catalog that ran the most requests, so that it owns many of the
/// traffic's keys.
std::string
findBusiest(const Fleet& aFleet)
{
  std::map<std::string, int> counts;
  for (const RequestRun& run : aFleet.runs()) {
    counts[run.mVm] += run.mService == "catalog" ? 1 : 0;
  }
  std::string busiest;
  for (const auto& [vm, n] : counts) {
    if (busiest.empty() || n > counts[busiest]) {
      busiest = vm;
    }
  }
  return busiest;
}

/// Sends requests without a caller key through one daemon. They need no
/// rate-limit tokens; a daemon that is cut off soon runs out of those.
std::unique_ptr<Traffic>
startUnauthenticatedTraffic(const Fleet& aFleet,
                            const std::string& aVm,
                            std::uint64_t aSeed)
{
  Traffic::Options options;
  options.mIngressAddresses = { aFleet.callerAddress(aVm) };
  for (int i = 1; i <= kUnauthenticatedKeyCount; ++i) {
    options.mGetPaths.push_back("/catalog/template-" + std::to_string(i) +
                                "/preview");
  }
  options.mCallerKey = "";
  options.mSeed = aSeed + 1;
  options.mQuery = "ms=10";
  return std::make_unique<Traffic>(options);
}

/// Cuts a daemon off from the log and its peers, but not from callers.
void
checkPartition(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario scenario(optionsFor("naive_cut", aSeed, aProgram));
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> others = fleet.vmsOf("library");
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(1_s, 1_s);
  const std::string affectedVm = findBusiest(fleet);
  const std::unique_ptr<Traffic> unauthenticated =
    startUnauthenticatedTraffic(fleet, affectedVm, aSeed);
  fleet.isolate(affectedVm, true);
  BOOST_TEST(
    waitFor([&] { return isExpelled(fleet, affectedVm, others.front()); },
            kExpelTimeout));
  waitForViolations(scenario, aProgram, findOwnershipViolations);
  fleet.isolate(affectedVm, false);
  unauthenticated->stop();
  stopAndCheckTraffic(scenario, aProgram, findOwnershipViolations);
}

/// Freezes a daemon until its lease has lapsed, and resumes it while it is
/// still cut off from the log and its peers.
void
checkFreeze(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario scenario(optionsFor("naive_freeze", aSeed, aProgram));
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> others = fleet.vmsOf("library");
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(1_s, 1_s);
  const std::string affectedVm = findBusiest(fleet);
  const std::unique_ptr<Traffic> unauthenticated =
    startUnauthenticatedTraffic(fleet, affectedVm, aSeed);
  fleet.isolate(affectedVm, true);
  fleet.signal(affectedVm, Role::Daemon, SIGSTOP);
  BOOST_TEST(
    waitFor([&] { return isExpelled(fleet, affectedVm, others.front()); },
            kExpelTimeout));
  scenario.runTrafficFor(1_s, 1_s);
  fleet.signal(affectedVm, Role::Daemon, SIGCONT);
  waitForViolations(scenario, aProgram, findOwnershipViolations);
  fleet.isolate(affectedVm, false);
  unauthenticated->stop();
  stopAndCheckTraffic(scenario, aProgram, findOwnershipViolations);
}

/// Kills a daemon while it runs requests that must not run twice.
void
checkRetry(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario::Options options = optionsFor("naive_retry", aSeed, aProgram);
  options.mRelays = false;
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  scenario.startTraffic({ affectedVm }, "ms=50");
  scenario.runTrafficFor(1_s, 1_s);
  const auto hasUnfinishedPost = [&] {
    const std::vector<RequestRun> runs = fleet.runs();
    return std::any_of(runs.begin(), runs.end(), [&](const RequestRun& aRun) {
      return aRun.mVm == affectedVm && aRun.mMethod == "POST" &&
             aRun.mOutcome.empty();
    });
  };
  BOOST_TEST(waitFor(hasUnfinishedPost, kDetectionTimeout));
  fleet.kill(affectedVm, Role::Daemon);
  waitForViolations(scenario, aProgram, findRetryViolations);
  stopAndCheckTraffic(scenario, aProgram, findRetryViolations);
}

}

BOOST_AUTO_TEST_SUITE(naive)

BOOST_AUTO_TEST_CASE(lease_on_partitioned_daemon_real)
{
  checkPartition(91, kRealDaemon);
}

BOOST_AUTO_TEST_CASE(lease_on_partitioned_daemon_naive)
{
  checkPartition(91, kNaiveLease);
}

BOOST_AUTO_TEST_CASE(lease_on_frozen_daemon_real)
{
  checkFreeze(92, kRealDaemon);
}

BOOST_AUTO_TEST_CASE(lease_on_frozen_daemon_naive)
{
  checkFreeze(92, kNaiveLease);
}

BOOST_AUTO_TEST_CASE(retry_after_loss_real)
{
  checkRetry(93, kRealDaemon);
}

BOOST_AUTO_TEST_CASE(retry_after_loss_naive)
{
  checkRetry(93, kNaiveRetry);
}

BOOST_AUTO_TEST_SUITE_END()

}

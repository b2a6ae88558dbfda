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

/// Longest time in which a daemon without a safeguard shows its fault.
constexpr Millis kFaultTime = 10_s;
constexpr Millis kExpelTime = 5_s;
constexpr int kOpenKeys = 12;
constexpr const char* kProduct = "radishroadd";
constexpr const char* kNaiveLease = "naive_lease";
constexpr const char* kNaiveRetry = "naive_retry";

Scenario::Options
withDaemon(const std::string& aName,
           std::uint64_t aSeed,
           const std::string& aProgram)
{
  Scenario::Options options(aName + "-" + aProgram, aSeed);
  options.mRelays = true;
  options.mDaemonProgram = aProgram;
  return options;
}

Faults
judgeOwnership(const Fleet& aFleet)
{
  const std::vector<Run> runs = aFleet.runs();
  Faults faults = judgeOneOwner(runs);
  const Faults epochs = judgeEpochs(runs);
  faults.insert(faults.end(), epochs.begin(), epochs.end());
  return faults;
}

Faults
judgeRunsOnce(const Fleet& aFleet)
{
  return judgeAtMostOnce(aFleet.runs());
}

using Judge = std::function<Faults(const Fleet&)>;

/// The product holds through the time in which a naive daemon shows its fault;
/// the naive daemon has to show it.
void
expectVerdict(Scenario& aScenario,
              const std::string& aProgram,
              const Judge& aJudge)
{
  const Fleet& fleet = aScenario.fleet();
  if (aProgram == kProduct) {
    aScenario.runOn(4_s, 4_s);
    return;
  }
  const bool found =
    waitFor([&] { return !aJudge(fleet).empty(); }, kFaultTime);
  BOOST_TEST(found, "the judges found no fault with " << aProgram);
}

/// Judges the whole run: none of the product's is at fault.
void
closeTraffic(Scenario& aScenario,
             const std::string& aProgram,
             const Judge& aJudge)
{
  const Evidence evidence = aScenario.stopTraffic();
  const Faults faults = aJudge(aScenario.fleet());
  if (aProgram == kProduct) {
    checkAlways(evidence);
    return;
  }
  BOOST_TEST(!faults.empty());
  if (!faults.empty()) {
    BOOST_TEST_MESSAGE(aProgram << ": " << faults.size() << " faults, such as "
                                << faults.front());
  }
}

bool
isExpelled(const Fleet& aFleet,
           const std::string& aVm,
           const std::string& aWitness)
{
  const nlohmann::json state = aFleet.state(aWitness);
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

/// The VM of catalog that ran most: it owns many of the traffic's keys.
std::string
findBusiest(const Fleet& aFleet)
{
  std::map<std::string, int> counts;
  for (const Run& run : aFleet.runs()) {
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

/// Requests through one daemon without a key, which need no token: those of
/// a daemon that is cut off are soon used up.
std::unique_ptr<Traffic>
startOpenTraffic(const Fleet& aFleet,
                 const std::string& aVm,
                 std::uint64_t aSeed)
{
  Traffic::Options options;
  options.mIngresses = { aFleet.caller(aVm) };
  for (int i = 1; i <= kOpenKeys; ++i) {
    options.mGets.push_back("/catalog/template-" + std::to_string(i) +
                            "/preview");
  }
  options.mCallerKey = "";
  options.mSeed = aSeed + 1;
  options.mQuery = "ms=10";
  return std::make_unique<Traffic>(options);
}

/// A daemon cut off from the log and its peers, but not from callers.
void
checkCut(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario scenario(withDaemon("naive_cut", aSeed, aProgram));
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> others = fleet.vmsOf("library");
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(1_s, 1_s);
  const std::string victim = findBusiest(fleet);
  const std::unique_ptr<Traffic> open = startOpenTraffic(fleet, victim, aSeed);
  fleet.isolate(victim, true);
  BOOST_TEST(waitFor([&] { return isExpelled(fleet, victim, others.front()); },
                     kExpelTime));
  expectVerdict(scenario, aProgram, judgeOwnership);
  fleet.isolate(victim, false);
  open->stop();
  closeTraffic(scenario, aProgram, judgeOwnership);
}

/// A daemon whose lease lapses while it is frozen, and that goes on before it
/// hears of anything.
void
checkFreeze(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario scenario(withDaemon("naive_freeze", aSeed, aProgram));
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> others = fleet.vmsOf("library");
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(1_s, 1_s);
  const std::string victim = findBusiest(fleet);
  const std::unique_ptr<Traffic> open = startOpenTraffic(fleet, victim, aSeed);
  fleet.isolate(victim, true);
  fleet.signal(victim, Role::Daemon, SIGSTOP);
  BOOST_TEST(waitFor([&] { return isExpelled(fleet, victim, others.front()); },
                     kExpelTime));
  scenario.runOn(1_s, 1_s);
  fleet.signal(victim, Role::Daemon, SIGCONT);
  expectVerdict(scenario, aProgram, judgeOwnership);
  fleet.isolate(victim, false);
  open->stop();
  closeTraffic(scenario, aProgram, judgeOwnership);
}

/// A daemon is lost while it runs requests that must not run twice.
void
checkRetry(std::uint64_t aSeed, const std::string& aProgram)
{
  Scenario::Options options = withDaemon("naive_retry", aSeed, aProgram);
  options.mRelays = false;
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  scenario.startTraffic({ victim }, "ms=50");
  scenario.runOn(1_s, 1_s);
  const auto runsThere = [&] {
    const std::vector<Run> runs = fleet.runs();
    return std::any_of(runs.begin(), runs.end(), [&](const Run& aRun) {
      return aRun.mVm == victim && aRun.mMethod == "POST" &&
             aRun.mOutcome.empty();
    });
  };
  BOOST_TEST(waitFor(runsThere, kFaultTime));
  fleet.kill(victim, Role::Daemon);
  expectVerdict(scenario, aProgram, judgeRunsOnce);
  closeTraffic(scenario, aProgram, judgeRunsOnce);
}

}

BOOST_AUTO_TEST_SUITE(naive)

BOOST_AUTO_TEST_CASE(lease_on_cut_off_daemon_product)
{
  checkCut(91, kProduct);
}

BOOST_AUTO_TEST_CASE(lease_on_cut_off_daemon_naive)
{
  checkCut(91, kNaiveLease);
}

BOOST_AUTO_TEST_CASE(lease_on_frozen_daemon_product)
{
  checkFreeze(92, kProduct);
}

BOOST_AUTO_TEST_CASE(lease_on_frozen_daemon_naive)
{
  checkFreeze(92, kNaiveLease);
}

BOOST_AUTO_TEST_CASE(retry_after_loss_product)
{
  checkRetry(93, kProduct);
}

BOOST_AUTO_TEST_CASE(retry_after_loss_naive)
{
  checkRetry(93, kNaiveRetry);
}

BOOST_AUTO_TEST_SUITE_END()

}

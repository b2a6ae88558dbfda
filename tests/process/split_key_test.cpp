#include "radishroad/base/hash.h"
#include "radishroad/state/cell_state.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr std::size_t kHotKeyCount = 4;
/// A hot key gets this many times the requests of another key.
constexpr int kHotWeight = 20;
constexpr int kOtherKeyCount = 20;
constexpr Millis kMaxTakeoverTime = 2_s;
/// Limit for the coordinator to observe the load, wait until it has lasted
/// long enough, and split the keys.
constexpr Millis kSplitTimeout = 40_s;
constexpr Millis kMeasuredTime = 3_s;

struct ServiceCase
{
  std::string mName;
  std::uint64_t mSeed;
  std::string mService;
  /// A request's path is the prefix, the key and the suffix.
  std::string mPathPrefix;
  std::string mPathSuffix;
};

/// Keys that all hash to one shard.
std::vector<std::string>
hotKeys()
{
  std::vector<std::string> keys;
  const Shard shard = shardOf(hash64("hot-0"));
  for (int i = 0; keys.size() < kHotKeyCount; ++i) {
    const std::string key = "hot-" + std::to_string(i);
    if (shardOf(hash64(key)) == shard) {
      keys.push_back(key);
    }
  }
  return keys;
}

/// Sends traffic in which most requests are for a few keys of one shard.
std::unique_ptr<Traffic>
startTraffic(const Fleet& aFleet,
             const ServiceCase& aCase,
             std::uint64_t aSeed,
             const std::set<std::string>& aExcept)
{
  Traffic::Options options;
  options.mIngressAddresses = aFleet.callerAddresses(aExcept);
  for (const std::string& key : hotKeys()) {
    const std::string path = aCase.mPathPrefix + key + aCase.mPathSuffix;
    options.mGetPaths.insert(options.mGetPaths.end(), kHotWeight, path);
    if (aCase.mService == "catalog") {
      options.mPostPaths.push_back(aCase.mPathPrefix + key + "/purchase");
    }
  }
  for (int i = 0; i < kOtherKeyCount; ++i) {
    options.mGetPaths.push_back(aCase.mPathPrefix + "other-" +
                                std::to_string(i) + aCase.mPathSuffix);
  }
  options.mSeed = aSeed;
  options.mQuery = "ms=5";
  options.mTimeout = 8_s;
  return std::make_unique<Traffic>(options);
}

std::size_t
splitKeyCount(const Fleet& aFleet, const std::string& aVm)
{
  const nlohmann::json state = aFleet.state(aVm);
  const std::string service = aVm.substr(0, aVm.find('-'));
  return state.is_object()
           ? state["cells"][service].value("split_keys", std::size_t{ 0 })
           : 0;
}

/// Ratio of the maximum to the mean of the runs of a service's VMs between two
/// times.
double
imbalance(const Fleet& aFleet,
          const std::string& aService,
          std::int64_t aFromMs,
          std::int64_t aEndMs)
{
  std::map<std::string, double> counts;
  double sum = 0;
  for (const RequestRun& run : aFleet.runs()) {
    if (run.mService == aService && run.mStartMs >= aFromMs &&
        run.mStartMs < aEndMs) {
      sum += 1;
      counts[run.mVm] += 1;
    }
  }
  double maxRuns = 0;
  for (const auto& [vm, count] : counts) {
    maxRuns = std::max(maxRuns, count);
  }
  return maxRuns * static_cast<double>(aFleet.vmsOf(aService).size()) / sum;
}

/// The VM that last ran a hot key, other than the one that ran all of them at
/// first.
std::string
findSplitKeyOwner(const Fleet& aFleet, const ServiceCase& aCase)
{
  std::vector<std::string> hotKeyHashes;
  for (const std::string& key : hotKeys()) {
    hotKeyHashes.push_back(std::to_string(hash64(key)));
  }
  std::string first;
  std::int64_t firstMs = INT64_MAX;
  std::string last;
  std::int64_t lastMs = 0;
  const std::vector<RequestRun> runs = aFleet.runs();
  const auto isHot = [&](const RequestRun& aRun) {
    return aRun.mService == aCase.mService &&
           std::ranges::find(hotKeyHashes, aRun.mKey) != hotKeyHashes.end();
  };
  for (const RequestRun& run : runs) {
    if (isHot(run) && run.mStartMs < firstMs) {
      first = run.mVm;
      firstMs = run.mStartMs;
    }
  }
  for (const RequestRun& run : runs) {
    if (isHot(run) && run.mVm != first && run.mStartMs > lastMs) {
      last = run.mVm;
      lastMs = run.mStartMs;
    }
  }
  return last;
}

Scenario::Options
optionsOf(const ServiceCase& aCase)
{
  Scenario::Options options(aCase.mName, aCase.mSeed);
  options.mCatalog = 7;
  options.mLibrary = 4;
  return options;
}

/// Runs traffic until the hot keys have been split, and compares the
/// distribution of the runs before and after. No request may be refused
/// meanwhile.
std::vector<tools::LoadResult>
checkLoadSpread(Scenario& aScenario, const ServiceCase& aCase)
{
  Fleet& fleet = aScenario.fleet();
  const std::string observerVm = fleet.vmsOf(aCase.mService).front();
  const std::int64_t start = wallNow().mCount;
  std::unique_ptr<Traffic> traffic =
    startTraffic(fleet, aCase, aCase.mSeed, {});
  BOOST_REQUIRE(waitFor(
    [&] { return splitKeyCount(fleet, observerVm) >= kHotKeyCount - 1; },
    kSplitTimeout));
  const std::int64_t split = wallNow().mCount;
  aScenario.runTrafficFor(kMeasuredTime + 1_s, kMeasuredTime + 1_s);
  std::vector<tools::LoadResult> results = traffic->stop();
  const std::int64_t end = wallNow().mCount;
  expectNoViolations(findUnansweredRequests(results));
  const double before =
    imbalance(fleet, aCase.mService, start, start + kMeasuredTime.mCount);
  const double after =
    imbalance(fleet, aCase.mService, end - kMeasuredTime.mCount, end);
  BOOST_TEST_MESSAGE(
    aCase.mService << ": imbalance " << before << " before, " << after
                   << " after; " << splitKeyCount(fleet, observerVm)
                   << " keys split " << split - start << " ms after the start");
  BOOST_TEST(after < before / 2);
  return results;
}

/// Runs traffic through the other daemons while aRemoveOwner removes an owner
/// of split keys.
Observations
runTrafficThroughLoss(Scenario& aScenario,
                      const ServiceCase& aCase,
                      const std::string& aRemovedVm,
                      const std::function<void()>& aRemoveOwner)
{
  std::unique_ptr<Traffic> traffic =
    startTraffic(aScenario.fleet(), aCase, aCase.mSeed + 1000, { aRemovedVm });
  aScenario.runTrafficFor(500_ms, 1_s);
  aRemoveOwner();
  aScenario.runTrafficFor(4_s, 4_s);
  Observations observations;
  observations.mResults = traffic->stop();
  observations.mRuns = aScenario.fleet().runs();
  return observations;
}

void
checkAllInvariants(Observations aObservations,
                   std::vector<tools::LoadResult> aEarlier)
{
  aObservations.mResults.insert(
    aObservations.mResults.end(), aEarlier.begin(), aEarlier.end());
  checkInvariants(aObservations);
}

void
checkKilledOwner(const ServiceCase& aCase)
{
  Scenario scenario(optionsOf(aCase));
  const std::vector<tools::LoadResult> earlier =
    checkLoadSpread(scenario, aCase);
  const std::string affectedVm = findSplitKeyOwner(scenario.fleet(), aCase);
  BOOST_REQUIRE(!affectedVm.empty());
  const Observations observations =
    runTrafficThroughLoss(scenario, aCase, affectedVm, [&] {
      scenario.fleet().kill(affectedVm, Role::Daemon);
    });
  checkMaxUnavailability(observations, kMaxTakeoverTime);
  std::int64_t longest = 0;
  for (const auto& [key, time] : unavailabilityByKey(observations.mResults)) {
    longest = std::max(longest, time);
  }
  BOOST_TEST_MESSAGE(aCase.mService << ": longest wait for a key after the "
                                    << "loss of " << affectedVm << " "
                                    << longest << " ms");
  checkAllInvariants(observations, earlier);
}

/// Checks that a daemon that is requested to stop hands over its split keys and
/// interrupts no request.
void
checkStoppedOwner(const ServiceCase& aCase)
{
  Scenario scenario(optionsOf(aCase));
  const std::vector<tools::LoadResult> earlier =
    checkLoadSpread(scenario, aCase);
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = findSplitKeyOwner(fleet, aCase);
  BOOST_REQUIRE(!affectedVm.empty());
  const Observations observations =
    runTrafficThroughLoss(scenario, aCase, affectedVm, [&] {
      fleet.signal(affectedVm, Role::Daemon, SIGTERM);
      const std::optional<int> exitCode =
        fleet.process(affectedVm, Role::Daemon)->waitForExit(15_s);
      BOOST_TEST((exitCode == 0));
    });
  expectNoViolations(findUnansweredRequests(observations.mResults));
  checkAllInvariants(observations, earlier);
}

}

BOOST_AUTO_TEST_SUITE(split_key)

BOOST_AUTO_TEST_CASE(killed_owner_in_catalog)
{
  checkKilledOwner(
    { "split_key_catalog", 71, "catalog", "/catalog/", "/page" });
}

BOOST_AUTO_TEST_CASE(killed_owner_in_library)
{
  checkKilledOwner({ "split_key_library", 72, "library", "/library/", "" });
}

BOOST_AUTO_TEST_CASE(stopped_owner_in_catalog)
{
  checkStoppedOwner({ "split_key_stop", 73, "catalog", "/catalog/", "/page" });
}

BOOST_AUTO_TEST_SUITE_END()

}

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

constexpr std::size_t kHotKeys = 4;
/// A hot key has so many times the requests of another.
constexpr int kHotWeight = 20;
constexpr int kOtherKeys = 20;
constexpr Millis kTakeover = 2_s;
/// Time for the coordinator to see the load, wait out its patience and split.
constexpr Millis kSplitTime = 40_s;
constexpr Millis kPhase = 3_s;

struct ServiceCase
{
  std::string mName;
  std::uint64_t mSeed;
  std::string mService;
  /// A request's path before and after its key.
  std::string mBefore;
  std::string mAfter;
};

/// Keys that all hash onto one shard.
std::vector<std::string>
hotKeys()
{
  std::vector<std::string> keys;
  const Shard shard = shardOf(hash64("hot-0"));
  for (int i = 0; keys.size() < kHotKeys; ++i) {
    const std::string key = "hot-" + std::to_string(i);
    if (shardOf(hash64(key)) == shard) {
      keys.push_back(key);
    }
  }
  return keys;
}

/// Most of the requests are for a few keys of one shard.
std::unique_ptr<Traffic>
startTraffic(const Fleet& aFleet,
             const ServiceCase& aCase,
             std::uint64_t aSeed,
             const std::set<std::string>& aBut)
{
  Traffic::Options options;
  options.mIngresses = aFleet.callers(aBut);
  for (const std::string& key : hotKeys()) {
    const std::string path = aCase.mBefore + key + aCase.mAfter;
    options.mGets.insert(options.mGets.end(), kHotWeight, path);
    if (aCase.mService == "catalog") {
      options.mPosts.push_back(aCase.mBefore + key + "/purchase");
    }
  }
  for (int i = 0; i < kOtherKeys; ++i) {
    options.mGets.push_back(aCase.mBefore + "other-" + std::to_string(i) +
                            aCase.mAfter);
  }
  options.mSeed = aSeed;
  options.mQuery = "ms=5";
  options.mTimeout = 8_s;
  return std::make_unique<Traffic>(options);
}

std::size_t
splitKeys(const Fleet& aFleet, const std::string& aVm)
{
  const nlohmann::json state = aFleet.state(aVm);
  const std::string service = aVm.substr(0, aVm.find('-'));
  return state.is_object()
           ? state["cells"][service].value("split_keys", std::size_t{ 0 })
           : 0;
}

/// Most over mean of the runs of a service's VMs between two times.
double
imbalance(const Fleet& aFleet,
          const std::string& aService,
          std::int64_t aFromMs,
          std::int64_t aUntilMs)
{
  std::map<std::string, double> counts;
  double sum = 0;
  for (const Run& run : aFleet.runs()) {
    if (run.mService == aService && run.mStartMs >= aFromMs &&
        run.mStartMs < aUntilMs) {
      sum += 1;
      counts[run.mVm] += 1;
    }
  }
  double most = 0;
  for (const auto& [vm, count] : counts) {
    most = std::max(most, count);
  }
  return most * static_cast<double>(aFleet.vmsOf(aService).size()) / sum;
}

/// The VM that ran a hot key last, other than the one that ran all at first.
std::string
ownerOfSplitKey(const Fleet& aFleet, const ServiceCase& aCase)
{
  std::vector<std::string> hot;
  for (const std::string& key : hotKeys()) {
    hot.push_back(std::to_string(hash64(key)));
  }
  std::string first;
  std::int64_t firstMs = INT64_MAX;
  std::string last;
  std::int64_t lastMs = 0;
  const std::vector<Run> runs = aFleet.runs();
  const auto isHot = [&](const Run& aRun) {
    return aRun.mService == aCase.mService &&
           std::ranges::find(hot, aRun.mKey) != hot.end();
  };
  for (const Run& run : runs) {
    if (isHot(run) && run.mStartMs < firstMs) {
      first = run.mVm;
      firstMs = run.mStartMs;
    }
  }
  for (const Run& run : runs) {
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

/// Runs traffic until the hot keys have been split, and looks at the spread of
/// the runs before and after. No request is refused meanwhile.
std::vector<tools::LoadResult>
checkSpread(Scenario& aScenario, const ServiceCase& aCase)
{
  Fleet& fleet = aScenario.fleet();
  const std::string observer = fleet.vmsOf(aCase.mService).front();
  const std::int64_t start = wallNow().mCount;
  std::unique_ptr<Traffic> traffic =
    startTraffic(fleet, aCase, aCase.mSeed, {});
  BOOST_REQUIRE(waitFor(
    [&] { return splitKeys(fleet, observer) >= kHotKeys - 1; }, kSplitTime));
  const std::int64_t split = wallNow().mCount;
  aScenario.runOn(kPhase + 1_s, kPhase + 1_s);
  std::vector<tools::LoadResult> results = traffic->stop();
  const std::int64_t end = wallNow().mCount;
  expectNone(judgeAllAnswered(results));
  const double before =
    imbalance(fleet, aCase.mService, start, start + kPhase.mCount);
  const double after =
    imbalance(fleet, aCase.mService, end - kPhase.mCount, end);
  BOOST_TEST_MESSAGE(
    aCase.mService << ": imbalance " << before << " before, " << after
                   << " after; " << splitKeys(fleet, observer) << " keys split "
                   << split - start << " ms after the start");
  BOOST_TEST(after < before / 2);
  return results;
}

/// Traffic past an owner of split keys, which goes meanwhile.
Evidence
runThroughLoss(Scenario& aScenario,
               const ServiceCase& aCase,
               const std::string& aVictim,
               const std::function<void()>& aGo)
{
  std::unique_ptr<Traffic> traffic =
    startTraffic(aScenario.fleet(), aCase, aCase.mSeed + 1000, { aVictim });
  aScenario.runOn(500_ms, 1_s);
  aGo();
  aScenario.runOn(4_s, 4_s);
  Evidence evidence;
  evidence.mResults = traffic->stop();
  evidence.mRuns = aScenario.fleet().runs();
  return evidence;
}

void
checkAll(Evidence aEvidence, std::vector<tools::LoadResult> aEarlier)
{
  aEvidence.mResults.insert(
    aEvidence.mResults.end(), aEarlier.begin(), aEarlier.end());
  checkAlways(aEvidence);
}

void
checkKilledOwner(const ServiceCase& aCase)
{
  Scenario scenario(optionsOf(aCase));
  const std::vector<tools::LoadResult> earlier = checkSpread(scenario, aCase);
  const std::string victim = ownerOfSplitKey(scenario.fleet(), aCase);
  BOOST_REQUIRE(!victim.empty());
  const Evidence evidence = runThroughLoss(scenario, aCase, victim, [&] {
    scenario.fleet().kill(victim, Role::Daemon);
  });
  checkUnavailable(evidence, kTakeover);
  std::int64_t worst = 0;
  for (const auto& [key, time] : unavailableTime(evidence.mResults)) {
    worst = std::max(worst, time);
  }
  BOOST_TEST_MESSAGE(aCase.mService << ": longest wait for a key after the "
                                    << "loss of " << victim << " " << worst
                                    << " ms");
  checkAll(evidence, earlier);
}

/// A planned stop hands the split keys on and cuts no request.
void
checkStoppedOwner(const ServiceCase& aCase)
{
  Scenario scenario(optionsOf(aCase));
  const std::vector<tools::LoadResult> earlier = checkSpread(scenario, aCase);
  Fleet& fleet = scenario.fleet();
  const std::string victim = ownerOfSplitKey(fleet, aCase);
  BOOST_REQUIRE(!victim.empty());
  const Evidence evidence = runThroughLoss(scenario, aCase, victim, [&] {
    fleet.signal(victim, Role::Daemon, SIGTERM);
    const std::optional<int> ec =
      fleet.process(victim, Role::Daemon)->waitForExit(15_s);
    BOOST_TEST((ec == 0));
  });
  expectNone(judgeAllAnswered(evidence.mResults));
  checkAll(evidence, earlier);
}

}

BOOST_AUTO_TEST_SUITE(split_key)

BOOST_AUTO_TEST_CASE(hot_keys_of_catalog)
{
  checkKilledOwner(
    { "split_key_catalog", 71, "catalog", "/catalog/", "/page" });
}

BOOST_AUTO_TEST_CASE(hot_keys_of_library)
{
  checkKilledOwner({ "split_key_library", 72, "library", "/library/", "" });
}

BOOST_AUTO_TEST_CASE(of_an_owner_that_stops)
{
  checkStoppedOwner({ "split_key_stop", 73, "catalog", "/catalog/", "/page" });
}

BOOST_AUTO_TEST_SUITE_END()

}

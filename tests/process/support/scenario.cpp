#include "support/scenario.h"

#include "radishroad/config/folder.h"
#include "support/http_call.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace radishroad::test {

namespace {

constexpr int kKeyCount = 12;

std::vector<std::string>
keyPaths(const std::string& aPrefix, const std::string& aSuffix)
{
  std::vector<std::string> paths;
  for (int i = 1; i <= kKeyCount; ++i) {
    paths.push_back(aPrefix + "template-" + std::to_string(i) + aSuffix);
  }
  return paths;
}

/// The seed of the test, unless RADISHROAD_TEST_SEED overrides it (see
/// benchmark/takeover.sh and scripts/soak.sh).
std::uint64_t
seedOf(const Scenario::Options& aOptions)
{
  const char* seed = std::getenv("RADISHROAD_TEST_SEED");
  return seed ? std::stoull(seed) : aOptions.mSeed;
}

/// Saves what callers received, for the analysis of a failed test.
void
saveResults(const std::vector<tools::LoadResult>& aResults,
            const std::filesystem::path& aFile)
{
  std::ofstream out(aFile);
  for (const tools::LoadResult& result : aResults) {
    const nlohmann::json line = { { "url", result.mRequest.mUrl },
                                  { "method", result.mRequest.mMethod },
                                  { "ended_ms", result.mEndedWallMs },
                                  { "latency_ms", result.mLatencyMs },
                                  { "status", result.mStatus },
                                  { "outcome", result.mOutcome },
                                  { "id", result.mRequestId },
                                  { "vm", result.mUpstreamVm },
                                  { "error", result.mError } };
    out << line.dump() << "\n";
  }
}

Fleet::Options
fleetOptions(const Scenario::Options& aOptions)
{
  Fleet::Options options;
  options.mName = aOptions.mName;
  if (const char* seed = std::getenv("RADISHROAD_TEST_SEED")) {
    options.mName += std::string("-seed-") + seed;
  }
  options.mVms = guildVms(aOptions.mCatalog, aOptions.mLibrary);
  options.mRelays = aOptions.mRelays;
  options.mDaemonProgram = aOptions.mDaemonProgram;
  options.mDaemonArguments = aOptions.mDaemonArguments;
  options.mUpstreamArguments = aOptions.mUpstreamArguments;
  return options;
}

}

Scenario::Scenario(Options aOptions)
  : mSeed(seedOf(aOptions))
  , mRandom(mSeed)
  , mFleet(fleetOptions(aOptions))
{
  mFleet.bringUp(guildFolder());
  if (aOptions.mWarmUp) {
    warmUp();
  }
}

void
Scenario::warmUp()
{
  for (const std::string& address : mFleet.callerAddresses()) {
    tools::LoadRequest request;
    request.mUrl = "http://" + address + "/library/warm-up";
    request.mHeaders = { "Authorization: Bearer guild-key-1" };
    const bool answered = waitFor(
      [&request] { return call(request).mStatus == 200; }, Millis{ 10000 });
    BOOST_REQUIRE(answered);
  }
}

std::filesystem::path
Scenario::guildFolder()
{
  return std::filesystem::path(RADISHROAD_SOURCE_DIR) / "examples" / "guild";
}

Fleet&
Scenario::fleet()
{
  return mFleet;
}

void
Scenario::startTraffic(const std::set<std::string>& aExcept,
                       const std::string& aQuery)
{
  Traffic::Options options;
  options.mIngressAddresses = mFleet.callerAddresses(aExcept);
  options.mGetPaths = guildGetPaths();
  options.mPostPaths = guildPostPaths();
  options.mSeed = mSeed;
  options.mQuery = aQuery;
  options.mTimeout = Millis{ 8000 };
  mTraffic = std::make_unique<Traffic>(options);
}

Observations
Scenario::stopTraffic()
{
  Observations observations;
  observations.mResults = mTraffic->stop();
  observations.mRuns = mFleet.runs();
  saveResults(observations.mResults, mFleet.folder() / "results.jsonl");
  const std::map<std::string, std::int64_t> unavailability =
    unavailabilityByKey(observations.mResults);
  std::int64_t longest = 0;
  for (const auto& [key, time] : unavailability) {
    longest = std::max(longest, time);
  }
  const auto answered = std::count_if(
    observations.mResults.begin(),
    observations.mResults.end(),
    [](const tools::LoadResult& aResult) { return aResult.mStatus == 200; });
  BOOST_TEST_MESSAGE("seed " << mSeed << ": " << observations.mResults.size()
                             << " sent, " << answered << " answered, "
                             << observations.mRuns.size()
                             << " runs, longest wait for a key " << longest
                             << " ms, appends " << mFleet.logJournal().size());
  return observations;
}

std::uint64_t
Scenario::draw()
{
  return mRandom();
}

void
Scenario::runTrafficFor(Millis aMin, Millis aMax)
{
  const auto span = static_cast<std::uint64_t>((aMax - aMin).mCount) + 1;
  const auto extra = static_cast<std::int64_t>(draw() % span);
  std::this_thread::sleep_for(std::chrono::milliseconds(aMin.mCount + extra));
}

std::string
Scenario::drawVm(const std::string& aService)
{
  const std::vector<std::string> vms = mFleet.vmsOf(aService);
  return vms[draw() % vms.size()];
}

std::size_t
countEvents(const Fleet& aFleet,
            const std::vector<std::string>& aVms,
            const std::string& aEvent)
{
  std::size_t n = 0;
  for (const std::string& vm : aVms) {
    for (const nlohmann::json& event :
         readJournal(aFleet.folder() / (vm + ".journal"))) {
      n += event.value("event", "") == aEvent ? 1 : 0;
    }
  }
  return n;
}

std::vector<std::string>
guildGetPaths()
{
  std::vector<std::string> paths = keyPaths("/catalog/", "/page");
  const std::vector<std::string> library = keyPaths("/library/", "");
  paths.insert(paths.end(), library.begin(), library.end());
  return paths;
}

std::vector<std::string>
guildPostPaths()
{
  return keyPaths("/catalog/", "/purchase");
}

std::vector<ConfigText>
guildWithoutZone(const std::string& aZone)
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

void
expectNoViolations(const Violations& aViolations)
{
  constexpr std::size_t kMaxShown = 5;
  for (std::size_t i = 0; i < std::min(aViolations.size(), kMaxShown); ++i) {
    BOOST_ERROR(aViolations[i]);
  }
  BOOST_TEST(aViolations.size() == 0U);
}

void
checkInvariants(const Observations& aObservations)
{
  BOOST_TEST(!aObservations.mRuns.empty());
  expectNoViolations(findOwnerOverlaps(aObservations.mRuns));
  expectNoViolations(findEpochRegressions(aObservations.mRuns));
  expectNoViolations(findRepeatedRuns(aObservations.mRuns));
  expectNoViolations(
    findRunsReportedNotRun(aObservations.mResults, aObservations.mRuns));
  expectNoViolations(
    findMismatchedAnswers(aObservations.mResults, aObservations.mRuns));
  expectNoViolations(findForwardedCallerKeys(aObservations.mRuns));
}

void
checkMaxUnavailability(const Observations& aObservations, Millis aMax)
{
  for (const auto& [key, time] : unavailabilityByKey(aObservations.mResults)) {
    BOOST_TEST(time <= aMax.mCount,
               key << " was not answered for " << time << " ms");
  }
}

void
checkRecovered(Observations aObservations,
               std::int64_t aFailuresEndedWallMs,
               Millis aMax)
{
  std::erase_if(aObservations.mResults, [=](const tools::LoadResult& aResult) {
    const auto latency = static_cast<std::int64_t>(aResult.mLatencyMs);
    return aResult.mEndedWallMs - latency < aFailuresEndedWallMs;
  });
  checkMaxUnavailability(aObservations, aMax);
}

}

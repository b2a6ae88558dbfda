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
pathsOfKeys(const std::string& aBefore, const std::string& aAfter)
{
  std::vector<std::string> paths;
  for (int i = 1; i <= kKeyCount; ++i) {
    paths.push_back(aBefore + "template-" + std::to_string(i) + aAfter);
  }
  return paths;
}

/// The test's own seed, or the one set by benchmark/takeover.sh.
std::uint64_t
seedOf(const Scenario::Options& aOptions)
{
  const char* other = std::getenv("RADISHROAD_TEST_SEED");
  return other ? std::stoull(other) : aOptions.mSeed;
}

/// What callers saw, for a person to read after a failed test.
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
  if (const char* other = std::getenv("RADISHROAD_TEST_SEED")) {
    options.mName += std::string("-seed-") + other;
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
  for (const std::string& address : mFleet.callers()) {
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
Scenario::startTraffic(const std::set<std::string>& aBut,
                       const std::string& aQuery)
{
  Traffic::Options options;
  options.mIngresses = mFleet.callers(aBut);
  options.mGets = guildGets();
  options.mPosts = guildPosts();
  options.mSeed = mSeed;
  options.mQuery = aQuery;
  options.mTimeout = Millis{ 8000 };
  mTraffic = std::make_unique<Traffic>(options);
}

Evidence
Scenario::stopTraffic()
{
  Evidence evidence;
  evidence.mResults = mTraffic->stop();
  evidence.mRuns = mFleet.runs();
  saveResults(evidence.mResults, mFleet.folder() / "results.jsonl");
  const std::map<std::string, std::int64_t> times =
    unavailableTime(evidence.mResults);
  std::int64_t worst = 0;
  for (const auto& [key, time] : times) {
    worst = std::max(worst, time);
  }
  const auto answered = std::count_if(
    evidence.mResults.begin(),
    evidence.mResults.end(),
    [](const tools::LoadResult& aResult) { return aResult.mStatus == 200; });
  BOOST_TEST_MESSAGE("seed " << mSeed << ": " << evidence.mResults.size()
                             << " sent, " << answered << " answered, "
                             << evidence.mRuns.size()
                             << " runs, longest wait for a key " << worst
                             << " ms, appends " << mFleet.logJournal().size());
  return evidence;
}

std::uint64_t
Scenario::draw()
{
  return mRandom();
}

void
Scenario::runOn(Millis aLeast, Millis aMost)
{
  const auto span = static_cast<std::uint64_t>((aMost - aLeast).mCount) + 1;
  const auto extra = static_cast<std::int64_t>(draw() % span);
  std::this_thread::sleep_for(std::chrono::milliseconds(aLeast.mCount + extra));
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
guildGets()
{
  std::vector<std::string> paths = pathsOfKeys("/catalog/", "/page");
  const std::vector<std::string> library = pathsOfKeys("/library/", "");
  paths.insert(paths.end(), library.begin(), library.end());
  return paths;
}

std::vector<std::string>
guildPosts()
{
  return pathsOfKeys("/catalog/", "/purchase");
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
expectNone(const Faults& aFaults)
{
  constexpr std::size_t kShown = 5;
  for (std::size_t i = 0; i < std::min(aFaults.size(), kShown); ++i) {
    BOOST_ERROR(aFaults[i]);
  }
  BOOST_TEST(aFaults.size() == 0U);
}

void
checkAlways(const Evidence& aEvidence)
{
  BOOST_TEST(!aEvidence.mRuns.empty());
  expectNone(judgeOneOwner(aEvidence.mRuns));
  expectNone(judgeEpochs(aEvidence.mRuns));
  expectNone(judgeAtMostOnce(aEvidence.mRuns));
  expectNone(judgeNotRun(aEvidence.mResults, aEvidence.mRuns));
  expectNone(judgeAnswers(aEvidence.mResults, aEvidence.mRuns));
  expectNone(judgeCallerKeys(aEvidence.mRuns));
}

void
checkUnavailable(const Evidence& aEvidence, Millis aMost)
{
  for (const auto& [key, time] : unavailableTime(aEvidence.mResults)) {
    BOOST_TEST(time <= aMost.mCount,
               key << " was not answered for " << time << " ms");
  }
}

void
checkRecovered(Evidence aEvidence, std::int64_t aEndedWallMs, Millis aMost)
{
  std::erase_if(aEvidence.mResults, [=](const tools::LoadResult& aResult) {
    const auto latency = static_cast<std::int64_t>(aResult.mLatencyMs);
    return aResult.mEndedWallMs - latency < aEndedWallMs;
  });
  checkUnavailable(aEvidence, aMost);
}

}

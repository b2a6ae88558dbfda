#include "radishroad/config/folder.h"
#include "support/http_call.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <span>
#include <thread>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// "Within seconds" for a withdrawn key.
constexpr Millis kWithdrawTime = 5_s;
constexpr const char* kWithdrawnKey = "guild-key-2";
/// SHA-256 of kWithdrawnKey.
constexpr const char* kWithdrawnHash =
  "7097cbf3ba11ab869e52f0eadac954138e7cd7d2f68f684be3adde5bf5f39028";
constexpr const char* kOtherHash =
  "0000000000000000000000000000000000000000000000000000000000000000";

std::vector<ConfigText>
guildWithoutKey()
{
  std::vector<ConfigText> files =
    config::readFolder(Scenario::guildFolder()).value();
  for (ConfigText& file : files) {
    const std::size_t at = file.mText.find(kWithdrawnHash);
    if (at != std::string::npos) {
      file.mText.replace(at, std::string(kWithdrawnHash).size(), kOtherHash);
    }
  }
  return files;
}

/// Requests with the key to be withdrawn, on connections kept open.
std::unique_ptr<Traffic>
startKeyTraffic(const Fleet& aFleet, std::uint64_t aSeed)
{
  Traffic::Options options;
  options.mIngresses = aFleet.callers();
  options.mGets = guildGets();
  options.mCallerKey = kWithdrawnKey;
  options.mPerSecond = 200;
  options.mSeed = aSeed;
  options.mTimeout = 8_s;
  return std::make_unique<Traffic>(options);
}

/// No upstream ran a request of the workspace after the time.
void
checkWithdrawn(const Fleet& aFleet, std::int64_t aWallMs)
{
  std::size_t before = 0;
  std::size_t after = 0;
  for (const Run& run : aFleet.runs()) {
    if (run.mWorkspace == "maple") {
      before += run.mStartMs <= aWallMs ? 1 : 0;
      after += run.mStartMs > aWallMs ? 1 : 0;
    }
  }
  BOOST_TEST(before > 0U);
  BOOST_TEST(after == 0U);
}

bool
isInForceBut(const Fleet& aFleet,
             const std::string& aVm,
             std::uint64_t aVersion)
{
  for (const std::string& vm : aFleet.vmsOf("catalog")) {
    const nlohmann::json state = aFleet.state(vm);
    if (vm != aVm &&
        (!state.is_object() || state.value("config_version", 0U) != aVersion)) {
      return false;
    }
  }
  return true;
}

/// Requests with the withdrawn key that were sent to a daemon after the time
/// and were answered by an upstream.
std::size_t
countAccepted(std::span<const tools::LoadResult> aResults,
              const std::string& aCaller,
              std::int64_t aWallMs)
{
  return static_cast<std::size_t>(std::count_if(
    aResults.begin(), aResults.end(), [&](const tools::LoadResult& aResult) {
      const auto latency = static_cast<std::int64_t>(aResult.mLatencyMs);
      return aResult.mStatus == 200 &&
             aResult.mEndedWallMs - latency > aWallMs &&
             aResult.mRequest.mUrl.starts_with("http://" + aCaller + "/");
    }));
}

/// Withdraws a key while one daemon is cut off from the log and from its
/// peers for the given time; callers reach it all the while.
void
checkCutOffDaemon(const std::string& aName, std::uint64_t aSeed, Millis aCutFor)
{
  Scenario::Options options(aName, aSeed);
  options.mRelays = true;
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, aSeed);
  scenario.runOn(1_s, 1_s);
  fleet.isolate(victim, true);
  const Millis cutAt = monotonicNow();
  BOOST_TEST(fleet.publish(guildWithoutKey(), 1));
  BOOST_TEST(
    waitFor([&] { return isInForceBut(fleet, victim, 2); }, kWithdrawTime));
  const std::int64_t limit = wallNow().mCount + kWithdrawTime.mCount;
  const Millis rest = cutAt + aCutFor - monotonicNow();
  scenario.runOn(rest, rest);
  fleet.isolate(victim, false);
  scenario.runOn(4_s, 4_s);
  const std::vector<tools::LoadResult> results = traffic->stop();
  BOOST_TEST(countAccepted(results, fleet.caller(victim), 0) > 0U);
  BOOST_TEST(countAccepted(results, fleet.caller(victim), limit) == 0U);
  checkWithdrawn(fleet, limit);
}

}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(one_of_two_racing_wins)
{
  Scenario scenario({ "operators_race", 61 });
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic();
  std::thread other([&] { fleet.publish(guildWithoutKey(), 1, "operator-b"); });
  fleet.publishFolder(Scenario::guildFolder(), 1);
  other.join();
  const auto versions = [&] {
    std::set<std::uint64_t> versions;
    for (const std::string& vm : fleet.vmsOf("catalog")) {
      versions.insert(fleet.state(vm).value("config_version", 0U));
    }
    return versions;
  };
  const std::set<std::uint64_t> second = { 2 };
  BOOST_TEST(waitFor([&] { return versions() == second; }, 16_s));
  // It stays so: the one that lost is never in force.
  scenario.runOn(1_s, 1_s);
  BOOST_TEST((versions() == second));
  const Evidence evidence = scenario.stopTraffic();
  checkAlways(evidence);
  expectNone(judgeAllAnswered(evidence.mResults));
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops)
{
  Scenario scenario({ "key_withdrawn", 62 });
  Fleet& fleet = scenario.fleet();
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, 62);
  scenario.runOn(1_s, 1_s);
  BOOST_TEST(fleet.publish(guildWithoutKey(), 1));
  const std::int64_t withdrawn = wallNow().mCount;
  scenario.runOn(kWithdrawTime + 2_s, kWithdrawTime + 2_s);
  traffic->stop();
  checkWithdrawn(fleet, withdrawn + kWithdrawTime.mCount);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_on_frozen_daemon)
{
  Scenario scenario({ "key_withdrawn_frozen", 63 });
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, 63);
  scenario.runOn(1_s, 1_s);
  fleet.signal(victim, Role::Daemon, SIGSTOP);
  BOOST_TEST(fleet.publish(guildWithoutKey(), 1));
  const std::int64_t withdrawn = wallNow().mCount;
  scenario.runOn(kWithdrawTime + 1_s, kWithdrawTime + 1_s);
  // What callers sent it meanwhile is in its sockets.
  fleet.signal(victim, Role::Daemon, SIGCONT);
  scenario.runOn(2_s, 2_s);
  traffic->stop();
  checkWithdrawn(fleet, withdrawn + kWithdrawTime.mCount);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_on_cut_off_daemon)
{
  checkCutOffDaemon("key_withdrawn_cut_off", 64, 8_s);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_on_daemon_back_soon)
{
  // What the daemon accepted while its configuration seemed fresh still waits.
  checkCutOffDaemon("key_withdrawn_back_soon", 65, 5200_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}

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

/// Limit within which a revoked key must be refused ("within seconds").
constexpr Millis kMaxRevocationTime = 5_s;
constexpr const char* kRevokedKey = "guild-key-2";
/// SHA-256 of kRevokedKey.
constexpr const char* kRevokedKeyHash =
  "7097cbf3ba11ab869e52f0eadac954138e7cd7d2f68f684be3adde5bf5f39028";
constexpr const char* kUnusedKeyHash =
  "0000000000000000000000000000000000000000000000000000000000000000";

std::vector<ConfigText>
guildWithoutRevokedKey()
{
  std::vector<ConfigText> files =
    config::readFolder(Scenario::guildFolder()).value();
  for (ConfigText& file : files) {
    const std::size_t at = file.mText.find(kRevokedKeyHash);
    if (at != std::string::npos) {
      file.mText.replace(
        at, std::string(kRevokedKeyHash).size(), kUnusedKeyHash);
    }
  }
  return files;
}

/// Sends requests with the key that is to be revoked, on persistent
/// connections.
std::unique_ptr<Traffic>
startKeyTraffic(const Fleet& aFleet, std::uint64_t aSeed)
{
  Traffic::Options options;
  options.mIngressAddresses = aFleet.callerAddresses();
  options.mGetPaths = guildGetPaths();
  options.mCallerKey = kRevokedKey;
  options.mRequestsPerSecond = 200;
  options.mSeed = aSeed;
  options.mTimeout = 8_s;
  return std::make_unique<Traffic>(options);
}

/// Checks that no upstream ran a request of the workspace after the time.
void
checkRevoked(const Fleet& aFleet, std::int64_t aWallMs)
{
  std::size_t before = 0;
  std::size_t after = 0;
  for (const RequestRun& run : aFleet.runs()) {
    if (run.mWorkspace == "maple") {
      before += run.mStartMs <= aWallMs ? 1 : 0;
      after += run.mStartMs > aWallMs ? 1 : 0;
    }
  }
  BOOST_TEST(before > 0U);
  BOOST_TEST(after == 0U);
}

bool
othersHaveVersion(const Fleet& aFleet,
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

/// Counts the requests that were sent to a daemon after the time and were
/// answered by an upstream.
std::size_t
countAnswered(std::span<const tools::LoadResult> aResults,
              const std::string& aCallerAddress,
              std::int64_t aWallMs)
{
  return static_cast<std::size_t>(std::count_if(
    aResults.begin(), aResults.end(), [&](const tools::LoadResult& aResult) {
      const auto latency = static_cast<std::int64_t>(aResult.mLatencyMs);
      return aResult.mStatus == 200 &&
             aResult.mEndedWallMs - latency > aWallMs &&
             aResult.mRequest.mUrl.starts_with("http://" + aCallerAddress +
                                               "/");
    }));
}

/// Revokes a key while one daemon is cut off from the log and from its peers
/// for the given time. Callers can reach the daemon throughout.
void
checkPartitionedDaemon(const std::string& aName,
                       std::uint64_t aSeed,
                       Millis aPartitionTime)
{
  Scenario::Options options(aName, aSeed);
  options.mRelays = true;
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, aSeed);
  scenario.runTrafficFor(1_s, 1_s);
  fleet.isolate(affectedVm, true);
  const Millis partitionedAt = monotonicNow();
  BOOST_TEST(fleet.publish(guildWithoutRevokedKey(), 1));
  BOOST_TEST(waitFor([&] { return othersHaveVersion(fleet, affectedVm, 2); },
                     kMaxRevocationTime));
  const std::int64_t revocationLimitMs =
    wallNow().mCount + kMaxRevocationTime.mCount;
  const Millis remaining = partitionedAt + aPartitionTime - monotonicNow();
  scenario.runTrafficFor(remaining, remaining);
  fleet.isolate(affectedVm, false);
  scenario.runTrafficFor(4_s, 4_s);
  const std::vector<tools::LoadResult> results = traffic->stop();
  BOOST_TEST(countAnswered(results, fleet.callerAddress(affectedVm), 0) > 0U);
  BOOST_TEST(countAnswered(results,
                           fleet.callerAddress(affectedVm),
                           revocationLimitMs) == 0U);
  checkRevoked(fleet, revocationLimitMs);
}

}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_publications_wins)
{
  Scenario scenario({ "operators_race", 61 });
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic();
  std::thread other(
    [&] { fleet.publish(guildWithoutRevokedKey(), 1, "operator-b"); });
  fleet.publishFolder(Scenario::guildFolder(), 1);
  other.join();
  const auto versions = [&] {
    std::set<std::uint64_t> versions;
    for (const std::string& vm : fleet.vmsOf("catalog")) {
      versions.insert(fleet.state(vm).value("config_version", 0U));
    }
    return versions;
  };
  const std::set<std::uint64_t> expectedVersions = { 2 };
  BOOST_TEST(waitFor([&] { return versions() == expectedVersions; }, 16_s));
  // The version does not change again: the publication that lost never comes
  // into force.
  scenario.runTrafficFor(1_s, 1_s);
  BOOST_TEST((versions() == expectedVersions));
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(revoked_key_is_refused)
{
  Scenario scenario({ "key_withdrawn", 62 });
  Fleet& fleet = scenario.fleet();
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, 62);
  scenario.runTrafficFor(1_s, 1_s);
  BOOST_TEST(fleet.publish(guildWithoutRevokedKey(), 1));
  const std::int64_t revokedAtMs = wallNow().mCount;
  scenario.runTrafficFor(kMaxRevocationTime + 2_s, kMaxRevocationTime + 2_s);
  traffic->stop();
  checkRevoked(fleet, revokedAtMs + kMaxRevocationTime.mCount);
}

BOOST_AUTO_TEST_CASE(revoked_key_is_refused_by_frozen_daemon)
{
  Scenario scenario({ "key_withdrawn_frozen", 63 });
  Fleet& fleet = scenario.fleet();
  const std::string affectedVm = scenario.drawVm("catalog");
  const std::unique_ptr<Traffic> traffic = startKeyTraffic(fleet, 63);
  scenario.runTrafficFor(1_s, 1_s);
  fleet.signal(affectedVm, Role::Daemon, SIGSTOP);
  BOOST_TEST(fleet.publish(guildWithoutRevokedKey(), 1));
  const std::int64_t revokedAtMs = wallNow().mCount;
  scenario.runTrafficFor(kMaxRevocationTime + 1_s, kMaxRevocationTime + 1_s);
  // Requests that callers sent during the freeze wait in the daemon's sockets.
  fleet.signal(affectedVm, Role::Daemon, SIGCONT);
  scenario.runTrafficFor(2_s, 2_s);
  traffic->stop();
  checkRevoked(fleet, revokedAtMs + kMaxRevocationTime.mCount);
}

BOOST_AUTO_TEST_CASE(revoked_key_is_refused_by_partitioned_daemon)
{
  checkPartitionedDaemon("key_withdrawn_cut_off", 64, 8_s);
}

BOOST_AUTO_TEST_CASE(revoked_key_is_refused_after_short_partition)
{
  // Requests that the daemon accepted while its configuration seemed current
  // still wait.
  checkPartitionedDaemon("key_withdrawn_back_soon", 65, 5200_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "support/http_call.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Workspace birch of examples/guild.
constexpr const char* kSmallKey = "guild-key-4";
constexpr const char* kSmallWorkspace = "birch";
constexpr double kSmallRate = 200;
constexpr double kSmallBurst = 40;

/// Sends three times the workspace's rate through the daemons but those left
/// out.
std::unique_ptr<Traffic>
startFlood(const Fleet& aFleet,
           std::uint64_t aSeed,
           const std::set<std::string>& aBut)
{
  Traffic::Options options;
  options.mIngresses = aFleet.callers(aBut);
  options.mGets = guildGets();
  options.mCallerKey = kSmallKey;
  options.mPerSecond = static_cast<int>(3 * kSmallRate);
  options.mSeed = aSeed;
  return std::make_unique<Traffic>(options);
}

/// A request that was answered: when it was to be sent, and when it ran.
struct Admitted
{
  std::int64_t mSentMs = 0;
  std::int64_t mStartMs = 0;
};

/// Each request that ran, by the first start of its runs. Traffic's queries
/// start with n=.
std::vector<Admitted>
admittedOf(const std::vector<tools::LoadResult>& aResults,
           const std::vector<Run>& aRuns)
{
  std::map<std::string, std::int64_t> starts;
  for (const Run& run : aRuns) {
    if (run.mWorkspace == kSmallWorkspace) {
      const auto [it, isNew] = starts.emplace(run.mTarget, run.mStartMs);
      it->second = std::min(it->second, run.mStartMs);
    }
  }
  std::vector<Admitted> admitted;
  for (const tools::LoadResult& result : aResults) {
    const std::string& url = result.mRequest.mUrl;
    const std::string target = url.substr(url.find('/', 7));
    const auto it = starts.find(target);
    if (it != starts.end()) {
      const auto latency = static_cast<std::int64_t>(result.mLatencyMs);
      admitted.push_back({ result.mEndedWallMs - latency, it->second });
    }
  }
  return admitted;
}

/// In no span of time were more requests admitted than rate x span + burst. A
/// request was admitted between its sending and the start of its run; it may
/// have waited for an owner meanwhile, so starts alone may come closer.
void
checkRate(const std::vector<tools::LoadResult>& aResults,
          const std::vector<Run>& aRuns)
{
  constexpr double kMsPerSecond = 1000;
  const std::vector<Admitted> admitted = admittedOf(aResults, aRuns);
  BOOST_REQUIRE(!admitted.empty());
  double most = 0;
  for (const Admitted& first : admitted) {
    std::vector<std::int64_t> starts;
    for (const Admitted& each : admitted) {
      if (each.mSentMs >= first.mSentMs) {
        starts.push_back(each.mStartMs);
      }
    }
    std::sort(starts.begin(), starts.end());
    for (std::size_t i = 0; i < starts.size(); ++i) {
      const auto ms = static_cast<double>(starts[i] - first.mSentMs);
      const double allowed = ms * kSmallRate / kMsPerSecond;
      most = std::max(most, static_cast<double>(i + 1) - allowed);
    }
  }
  BOOST_TEST_MESSAGE(admitted.size()
                     << " ran, at most " << most << " above the rate");
  BOOST_TEST(most <= kSmallBurst);
}

}

BOOST_AUTO_TEST_SUITE(bounds)

BOOST_AUTO_TEST_CASE(workspace_rate_over_the_fleet)
{
  Scenario scenario({ "rate", 81 });
  const std::unique_ptr<Traffic> flood = startFlood(scenario.fleet(), 81, {});
  scenario.runOn(5_s, 5_s);
  const std::vector<tools::LoadResult> results = flood->stop();
  checkRate(results, scenario.fleet().runs());
}

BOOST_AUTO_TEST_CASE(workspace_rate_through_a_loss)
{
  Scenario scenario({ "rate_loss", 82 });
  Fleet& fleet = scenario.fleet();
  const std::string victim = scenario.drawVm("catalog");
  const std::string other = scenario.drawVm("library");
  const std::unique_ptr<Traffic> flood =
    startFlood(fleet, 82, { victim, other });
  scenario.runOn(1_s, 2_s);
  fleet.kill(victim, Role::Daemon);
  fleet.kill(other, Role::Daemon);
  scenario.runOn(4_s, 4_s);
  const std::vector<tools::LoadResult> results = flood->stop();
  checkRate(results, fleet.runs());
}

BOOST_AUTO_TEST_CASE(cold_upstream_is_not_overrun)
{
  Scenario::Options options("cold", 83);
  options.mUpstreamArguments = { "--cold-ms", "4000", "--cold-slots", "2" };
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(2_s, 2_s);
  const std::string victim = scenario.drawVm("catalog");
  fleet.kill(victim, Role::Upstream);
  fleet.start(victim, Role::Upstream);
  scenario.runOn(4_s, 4_s);
  const Evidence evidence = scenario.stopTraffic();
  checkAlways(evidence);
  BOOST_TEST(countEvents(fleet, fleet.vmsOf("catalog"), "fell_over") == 0U);
  BOOST_TEST(countEvents(fleet, fleet.vmsOf("library"), "fell_over") == 0U);
}

BOOST_AUTO_TEST_CASE(upstream_that_turns_cold_is_not_overrun)
{
  Scenario::Options options("turns_cold", 85);
  options.mUpstreamArguments = { "--cold-slots", "2" };
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic({}, "ms=10");
  scenario.runOn(2_s, 2_s);
  const std::string victim = scenario.drawVm("library");
  fleet.setUpstreamFaults(victim, { { "cold_ms", 3000 } });
  scenario.runOn(3_s, 3_s);
  const Evidence evidence = scenario.stopTraffic();
  checkAlways(evidence);
  BOOST_TEST(countEvents(fleet, { victim }, "fell_over") == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_crashes_upstreams_is_quarantined)
{
  constexpr int kSendings = 6;
  constexpr std::size_t kMostCrashes = 2;
  Scenario scenario({ "quarantine", 84 });
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  for (int i = 0; i < kSendings; ++i) {
    LoadRequest request;
    request.mMethod = "POST";
    request.mBody = "order";
    request.mUrl = "http://" + fleet.caller("library-1") +
                   "/catalog/template-1/purchase?n=84";
    request.mHeaders = { "Authorization: Bearer guild-key-1",
                         "X-Test-Crash: 1" };
    BOOST_TEST(call(request).mStatus != 200);
    for (const std::string& vm : vms) {
      if (!fleet.process(vm, Role::Upstream)->isRunning()) {
        fleet.start(vm, Role::Upstream);
      }
    }
    const bool settled = waitFor([&] { return fleet.isSettled(); }, 20_s);
    BOOST_TEST(settled);
  }
  BOOST_TEST(countEvents(fleet, vms, "crash") <= kMostCrashes);
}

BOOST_AUTO_TEST_SUITE_END()

}

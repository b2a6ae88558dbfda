#include "support/http_call.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// Workspace birch of examples/guild: its key, rate and burst.
constexpr const char* kBirchKey = "guild-key-4";
constexpr const char* kBirchWorkspace = "birch";
constexpr double kBirchRatePerSecond = 200;
constexpr double kBirchBurst = 40;

/// Sends three times the workspace's rate through all daemons except those in
/// aExcept.
std::unique_ptr<Traffic>
startOverload(const Fleet& aFleet,
              std::uint64_t aSeed,
              const std::set<std::string>& aExcept)
{
  Traffic::Options options;
  options.mIngressAddresses = aFleet.callerAddresses(aExcept);
  options.mGetPaths = guildGetPaths();
  options.mCallerKey = kBirchKey;
  options.mRequestsPerSecond = static_cast<int>(3 * kBirchRatePerSecond);
  options.mSeed = aSeed;
  return std::make_unique<Traffic>(options);
}

/// A request that ran: when it was to be sent, and when it first started.
struct AdmittedRequest
{
  std::int64_t mSentMs = 0;
  std::int64_t mStartMs = 0;
};

/// Finds the requests that ran, with the first start of their runs. Targets in
/// journals equal the sent ones, because n= comes first in Traffic's queries.
std::vector<AdmittedRequest>
findAdmitted(const std::vector<tools::LoadResult>& aResults,
             const std::vector<RequestRun>& aRuns)
{
  std::map<std::string, std::int64_t> starts;
  for (const RequestRun& run : aRuns) {
    if (run.mWorkspace == kBirchWorkspace) {
      const auto [it, isNew] = starts.emplace(run.mTarget, run.mStartMs);
      it->second = std::min(it->second, run.mStartMs);
    }
  }
  std::vector<AdmittedRequest> admitted;
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

/// Checks that no time span admitted more requests than rate x span + burst. A
/// request is admitted between its sending and the start of its run. It may
/// wait for an owner in between, so starts alone can be closer together than
/// admissions.
void
checkRate(const std::vector<tools::LoadResult>& aResults,
          const std::vector<RequestRun>& aRuns)
{
  constexpr double kMsPerSecond = 1000;
  const std::vector<AdmittedRequest> admitted = findAdmitted(aResults, aRuns);
  BOOST_REQUIRE(!admitted.empty());
  double maxAboveRate = 0;
  for (const AdmittedRequest& first : admitted) {
    std::vector<std::int64_t> starts;
    for (const AdmittedRequest& each : admitted) {
      if (each.mSentMs >= first.mSentMs) {
        starts.push_back(each.mStartMs);
      }
    }
    std::sort(starts.begin(), starts.end());
    for (std::size_t i = 0; i < starts.size(); ++i) {
      const auto ms = static_cast<double>(starts[i] - first.mSentMs);
      const double allowed = ms * kBirchRatePerSecond / kMsPerSecond;
      maxAboveRate =
        std::max(maxAboveRate, static_cast<double>(i + 1) - allowed);
    }
  }
  BOOST_TEST_MESSAGE(admitted.size()
                     << " ran, at most " << maxAboveRate << " above the rate");
  BOOST_TEST(maxAboveRate <= kBirchBurst);
}

}

BOOST_AUTO_TEST_SUITE(overload_protection)

BOOST_AUTO_TEST_CASE(workspace_rate_holds_across_the_fleet)
{
  Scenario scenario({ "rate", 81 });
  const std::unique_ptr<Traffic> overload =
    startOverload(scenario.fleet(), 81, {});
  scenario.runTrafficFor(5_s, 5_s);
  const std::vector<tools::LoadResult> results = overload->stop();
  checkRate(results, scenario.fleet().runs());
}

BOOST_AUTO_TEST_CASE(workspace_rate_holds_through_daemon_losses)
{
  Scenario scenario({ "rate_loss", 82 });
  Fleet& fleet = scenario.fleet();
  const std::string killedVm = scenario.drawVm("catalog");
  const std::string other = scenario.drawVm("library");
  const std::unique_ptr<Traffic> overload =
    startOverload(fleet, 82, { killedVm, other });
  scenario.runTrafficFor(1_s, 2_s);
  fleet.kill(killedVm, Role::Daemon);
  fleet.kill(other, Role::Daemon);
  scenario.runTrafficFor(4_s, 4_s);
  const std::vector<tools::LoadResult> results = overload->stop();
  checkRate(results, fleet.runs());
}

BOOST_AUTO_TEST_CASE(restarted_cold_upstream_is_not_overloaded)
{
  Scenario::Options options("cold", 83);
  options.mUpstreamArguments = { "--cold-ms", "4000", "--cold-slots", "2" };
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(2_s, 2_s);
  const std::string killedVm = scenario.drawVm("catalog");
  fleet.kill(killedVm, Role::Upstream);
  fleet.start(killedVm, Role::Upstream);
  scenario.runTrafficFor(4_s, 4_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  BOOST_TEST(countEvents(fleet, fleet.vmsOf("catalog"), "fell_over") == 0U);
  BOOST_TEST(countEvents(fleet, fleet.vmsOf("library"), "fell_over") == 0U);
}

BOOST_AUTO_TEST_CASE(upstream_that_turns_cold_is_not_overloaded)
{
  Scenario::Options options("turns_cold", 85);
  options.mUpstreamArguments = { "--cold-slots", "2" };
  Scenario scenario(options);
  Fleet& fleet = scenario.fleet();
  scenario.startTraffic({}, "ms=10");
  scenario.runTrafficFor(2_s, 2_s);
  const std::string killedVm = scenario.drawVm("library");
  fleet.setUpstreamFaults(killedVm, { { "cold_ms", 3000 } });
  scenario.runTrafficFor(3_s, 3_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  BOOST_TEST(countEvents(fleet, { killedVm }, "fell_over") == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_crashes_upstreams_is_quarantined)
{
  constexpr int kAttempts = 6;
  constexpr std::size_t kMaxCrashes = 2;
  Scenario scenario({ "quarantine", 84 });
  Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  for (int i = 0; i < kAttempts; ++i) {
    LoadRequest request;
    request.mMethod = "POST";
    request.mBody = "order";
    request.mUrl = "http://" + fleet.callerAddress("library-1") +
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
  BOOST_TEST(countEvents(fleet, vms, "crash") <= kMaxCrashes);
}

BOOST_AUTO_TEST_SUITE_END()

}

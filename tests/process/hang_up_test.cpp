#include "support/http_call.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// More requests than a gate's queue holds.
constexpr int kCallerCount = 800;
constexpr std::chrono::microseconds kSendInterval{ 1000 };
constexpr Millis kCallerTimeout = 300_ms;
/// Limit for a hang-up to reach the owner's gate and its upstream.
constexpr std::int64_t kMaxCancelMs = 1000;
/// How many of the requests are sent again with their idempotency key.
constexpr std::size_t kRepeatedRequests = 40;

LoadRequest
purchase(const std::string& aAddress, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  LoadRequest request;
  request.mTag = static_cast<std::uint64_t>(aNumber);
  request.mMethod = "POST";
  request.mBody = "order " + number;
  request.mUrl = "http://" + aAddress + "/catalog/template-1/purchase?n=gone-" +
                 number + "&ms=450";
  request.mHeaders = { "Authorization: Bearer guild-key-1",
                       "Idempotency-Key: order-" + number };
  request.mTimeout = kCallerTimeout;
  return request;
}

/// Sends purchases of one key, each by a caller that hangs up after
/// kCallerTimeout.
std::vector<LoadResult>
purchaseAndHangUp(const std::string& aAddress)
{
  const auto start = std::chrono::steady_clock::now();
  tools::LoadEngine engine({ .mMaxConnections = kCallerCount,
                             .mLimitConnections = false,
                             .mKeepBodies = false });
  int sent = 0;
  std::vector<LoadResult> results;
  engine.run(
    [&]() -> std::optional<LoadRequest> {
      if (sent == kCallerCount) {
        return std::nullopt;
      }
      LoadRequest request = purchase(aAddress, sent);
      request.mSendAt = start + kSendInterval * sent++;
      return request;
    },
    [&results](LoadResult aResult) { results.push_back(std::move(aResult)); });
  return results;
}

std::string
queryOf(const std::string& aUrl)
{
  const std::size_t at = aUrl.find('?');
  return at == std::string::npos ? "" : aUrl.substr(at);
}

/// For each caller that hung up, the wall time at which it did, by query.
std::map<std::string, std::int64_t>
hangUpTimes(const std::vector<LoadResult>& aResults)
{
  std::map<std::string, std::int64_t> times;
  for (const LoadResult& result : aResults) {
    if (result.mStatus == 0) {
      times[queryOf(result.mRequest.mUrl)] = result.mEndedWallMs;
    }
  }
  return times;
}

/// Finds requests that started or still ran later than kMaxCancelMs after
/// their caller had hung up.
Violations
findRunsAfterHangUp(std::span<const RequestRun> aRuns,
                    const std::map<std::string, std::int64_t>& aHungUpAt)
{
  Violations violations;
  for (const RequestRun& run : aRuns) {
    const auto it = aHungUpAt.find(queryOf(run.mTarget));
    if (it != aHungUpAt.end() && run.mEndMs > it->second + kMaxCancelMs) {
      violations.push_back(run.mTarget + " ran until " +
                           std::to_string(run.mEndMs - it->second) +
                           " ms after its caller hung up");
    }
  }
  return violations;
}

}

BOOST_AUTO_TEST_SUITE(hang_up)

BOOST_AUTO_TEST_CASE(cancels_the_callers_requests)
{
  Scenario scenario({ "hang_up", 66 });
  const Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  std::vector<LoadResult> results =
    purchaseAndHangUp(fleet.callerAddress(vms[0]));
  const std::map<std::string, std::int64_t> hungUpAt = hangUpTimes(results);
  BOOST_TEST(hungUpAt.size() > kCallerCount / 2U);

  // Other callers of the same workspace and key are served at once.
  for (const std::string& ingressVm : vms) {
    LoadRequest request;
    request.mUrl = "http://" + fleet.callerAddress(ingressVm) +
                   "/catalog/template-1/page?n=after-" + ingressVm;
    request.mHeaders = { "Authorization: Bearer guild-key-1" };
    request.mTimeout = 1_s;
    const LoadResult result = call(request);
    BOOST_TEST(result.mStatus == 200, ingressVm << ": " << result.mStatus);
  }
  expectNoViolations(findRunsAfterHangUp(fleet.runs(), hungUpAt));

  // A purchase that may have run must not run again when it is resent. Refused
  // purchases are left out, because they may run when resent.
  std::vector<LoadRequest> repeated;
  for (const LoadResult& result : results) {
    if (result.mOutcome != "not-run" && repeated.size() < kRepeatedRequests) {
      repeated.push_back(result.mRequest);
    }
  }
  BOOST_TEST(repeated.size() == kRepeatedRequests);
  for (LoadRequest& repeatedRequest : repeated) {
    repeatedRequest.mTimeout = 5_s;
    results.push_back(call(std::move(repeatedRequest)));
    BOOST_TEST(results.back().mStatus != 0);
  }
  const std::vector<RequestRun> runs = fleet.runs();
  const auto cancelled =
    std::ranges::count(runs, "cancelled", &RequestRun::mOutcome);
  BOOST_TEST(cancelled > 0);
  BOOST_TEST_MESSAGE(hungUpAt.size() << " callers hung up, " << runs.size()
                                     << " runs, " << cancelled << " cancelled");
  checkInvariants({ results, runs });
}

BOOST_AUTO_TEST_SUITE_END()

}

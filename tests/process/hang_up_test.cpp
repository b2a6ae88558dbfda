#include "support/http_call.h"
#include "support/scenario.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

/// More than a gate's queue holds.
constexpr int kCallers = 800;
constexpr std::chrono::microseconds kSendInterval{ 1000 };
constexpr Millis kPatience = 300_ms;
/// Time for a hang-up to reach the owner's gate and its upstream.
constexpr std::int64_t kCancelMs = 1000;
/// Those that hung up and ask again with their idempotency key.
constexpr std::size_t kRepeated = 40;

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
  request.mTimeout = kPatience;
  return request;
}

/// Purchases of one key, each by a caller that waits for kPatience only.
std::vector<LoadResult>
purchaseAndHangUp(const std::string& aAddress)
{
  const auto start = std::chrono::steady_clock::now();
  tools::LoadEngine engine({ .mMaxConnections = kCallers,
                             .mLimitConnections = false,
                             .mKeepBodies = false });
  int sent = 0;
  std::vector<LoadResult> results;
  engine.run(
    [&]() -> std::optional<LoadRequest> {
      if (sent == kCallers) {
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

/// Callers that hung up: the wall time at which they did, by query.
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

/// None of these requests starts, or runs on, once its caller has gone.
Faults
judgeGone(std::span<const Run> aRuns,
          const std::map<std::string, std::int64_t>& aTimes)
{
  Faults faults;
  for (const Run& run : aRuns) {
    const auto it = aTimes.find(queryOf(run.mTarget));
    if (it != aTimes.end() && run.mEndMs > it->second + kCancelMs) {
      faults.push_back(run.mTarget + " ran until " +
                       std::to_string(run.mEndMs - it->second) +
                       " ms after its caller had gone");
    }
  }
  return faults;
}

}

BOOST_AUTO_TEST_SUITE(hang_up)

BOOST_AUTO_TEST_CASE(leaves_no_work_behind)
{
  Scenario scenario({ "hang_up", 66 });
  const Fleet& fleet = scenario.fleet();
  const std::vector<std::string> vms = fleet.vmsOf("catalog");
  std::vector<LoadResult> results = purchaseAndHangUp(fleet.caller(vms[0]));
  const std::map<std::string, std::int64_t> gone = hangUpTimes(results);
  BOOST_TEST(gone.size() > kCallers / 2U);

  // Callers of the same workspace and key find room at once.
  for (const std::string& via : vms) {
    LoadRequest request;
    request.mUrl =
      "http://" + fleet.caller(via) + "/catalog/template-1/page?n=after-" + via;
    request.mHeaders = { "Authorization: Bearer guild-key-1" };
    request.mTimeout = 1_s;
    const LoadResult result = call(request);
    BOOST_TEST(result.mStatus == 200, via << ": " << result.mStatus);
  }
  expectNone(judgeGone(fleet.runs(), gone));

  // A purchase that may have run is not run again when it is sent again.
  // One that was refused is not among them: sent again, it may well run.
  std::vector<LoadRequest> repeated;
  for (const LoadResult& result : results) {
    if (result.mOutcome != "not-run" && repeated.size() < kRepeated) {
      repeated.push_back(result.mRequest);
    }
  }
  BOOST_TEST(repeated.size() == kRepeated);
  for (LoadRequest& again : repeated) {
    again.mTimeout = 5_s;
    results.push_back(call(std::move(again)));
    BOOST_TEST(results.back().mStatus != 0);
  }
  const std::vector<Run> runs = fleet.runs();
  const auto ended = std::ranges::count(runs, "cancelled", &Run::mOutcome);
  BOOST_TEST(ended > 0);
  BOOST_TEST_MESSAGE(gone.size() << " callers hung up, " << runs.size()
                                 << " runs, " << ended << " cancelled");
  checkAlways({ results, runs });
}

BOOST_AUTO_TEST_SUITE_END()

}

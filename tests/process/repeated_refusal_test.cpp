#include "support/platform_site.h"
#include "support/raw_client.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace radishroad::test {

namespace {

using Reply = FakeUpstream::Reply;

constexpr int kRequestsPerVm = 150;
constexpr int kKeys = 65536;

/// Refuses the first two arrivals of every second request.
class FirstArrivals
{
public:
  bool hasRefused(const std::string& aRequestId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mArrivals.contains(aRequestId);
  }

  bool refuses(const std::string& aRequestId)
  {
    constexpr int kRefusals = 2;
    const std::lock_guard<std::mutex> lock(mMutex);
    const bool isChosen = (aRequestId.back() - '0') % 2 == 0;
    return isChosen && ++mArrivals[aRequestId] <= kRefusals;
  }

private:
  std::mutex mMutex;
  std::map<std::string, int> mArrivals;
};

/// Writes each refusal once more when the next request arrives on its
/// connection.
Reply
sendRefusalsTwice(const UpstreamAnswer& aAnswer)
{
  Reply reply{ frame(aAnswer, Framing::Length) };
  if (!aAnswer.mIsRun) {
    reply.mLateBytes = reply.mBytes;
    reply.mLateAfter = std::chrono::minutes(1);
  }
  return reply;
}

struct Outcome
{
  std::string mRequestId;
  int mStatus = 0;
};

/// Sends requests that must not run twice through the daemon of a VM.
std::vector<Outcome>
sendRequests(const PlatformSite::Vm& aVm)
{
  std::vector<Outcome> outcomes;
  std::optional<RawClient> client;
  for (int n = 0; n < kRequestsPerVm; ++n) {
    Outcome outcome{ aVm.mName + "." + std::to_string(n) };
    if (!client) {
      client.emplace(PlatformSite::kCallers, aVm.mIp);
    }
    client->send("POST /" + aVm.mService +
                 "/once/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
                 outcome.mRequestId +
                 "\r\nX-Deadline-Ms: 1500\r\nX-Shard-Key: " +
                 std::to_string(n * 7919 % kKeys) +
                 "\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n");
    const std::optional<RawResponse> answer = client->receive();
    outcome.mStatus = answer ? answer->mStatus : 0;
    if (!answer || answer->field("Connection") == "close") {
      client.reset();
    }
    outcomes.push_back(outcome);
  }
  return outcomes;
}

}

BOOST_AUTO_TEST_SUITE(repeated_refusal)

// Upstreams write refusals once more on kept connections: callers are told that
// a request has not run while it runs, and requests run twice.
BOOST_AUTO_TEST_CASE(requests_run_once_and_refused_ones_never)
{
  FirstArrivals arrivals;
  PlatformSite site(
    "repeated-refusal",
    { { "keyed", true, false, 2 },
      { "reported", true, true, 2 },
      { "plain", false, false, 3 } },
    sendRefusalsTwice,
    [&arrivals](const std::string& aId) { return arrivals.refuses(aId); });
  BOOST_REQUIRE(site.start());
  std::vector<std::vector<Outcome>> outcomes(site.vms().size());
  std::vector<std::thread> senders;
  for (std::size_t n = 0; n < site.vms().size(); ++n) {
    senders.emplace_back(
      [&site, &outcomes, n] { outcomes[n] = sendRequests(site.vms()[n]); });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  std::map<std::string, int> runs;
  for (const PlatformRun& run : site.runs()) {
    ++runs[run.mRequestId];
  }
  const std::set<int> promises{ 408, 421, 429, 503 };
  int refusedAndRun = 0;
  int ranTwice = 0;
  int answered = 0;
  int answeredAfterRefusal = 0;
  int sent = 0;
  for (const std::vector<Outcome>& ofVm : outcomes) {
    for (const Outcome& outcome : ofVm) {
      const int count =
        runs.contains(outcome.mRequestId) ? runs.at(outcome.mRequestId) : 0;
      ++sent;
      const bool isAnswered = outcome.mStatus == 200;
      answered += isAnswered ? 1 : 0;
      answeredAfterRefusal +=
        isAnswered && arrivals.hasRefused(outcome.mRequestId) ? 1 : 0;
      ranTwice += count > 1 ? 1 : 0;
      refusedAndRun += promises.contains(outcome.mStatus) && count > 0 ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE(sent << " sent, " << answered
                          << " answered, of these after a refusal "
                          << answeredAfterRefusal);
  BOOST_TEST(refusedAndRun == 0);
  BOOST_TEST(ranTwice == 0);
  // Requests that reach a connection with a copy on it have no known outcome.
  BOOST_TEST(answeredAfterRefusal > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}

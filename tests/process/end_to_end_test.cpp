#include "support/http_call.h"
#include "support/scenario.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

LoadRequest
request(const std::string& aAddress, const std::string& aTarget)
{
  LoadRequest request;
  request.mTag = 7;
  request.mUrl = "http://" + aAddress + aTarget;
  request.mHeaders = { "Authorization: Bearer guild-key-1" };
  request.mTimeout = 10_s;
  return request;
}

/// Checks that an answer of this size arrives unchanged: the upstream fills
/// the body with the request's id, repeated.
void
checkBody(const Fleet& aFleet,
          const std::string& aIngressVm,
          std::size_t aBytes)
{
  const std::string target =
    "/catalog/template-1/page?bytes=" + std::to_string(aBytes);
  const LoadResult result =
    call(request(aFleet.callerAddress(aIngressVm), target));
  BOOST_TEST(result.mStatus == 200);
  BOOST_REQUIRE(result.mBody.size() == aBytes);
  BOOST_REQUIRE(!result.mRequestId.empty());
  for (std::size_t i = 0; i < aBytes; ++i) {
    if (result.mBody[i] != result.mRequestId[i % result.mRequestId.size()]) {
      BOOST_ERROR("byte " << i << " of " << aBytes << " differs");
      return;
    }
  }
}

}

BOOST_AUTO_TEST_SUITE(end_to_end)

BOOST_AUTO_TEST_CASE(every_request_is_answered)
{
  Scenario scenario({ "whole_path", 1 });
  scenario.startTraffic();
  scenario.runTrafficFor(3_s, 3_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
  std::set<std::string> vms;
  for (const RequestRun& run : observations.mRuns) {
    vms.insert(run.mVm);
  }
  BOOST_TEST(vms.size() >= 5U);
}

BOOST_AUTO_TEST_CASE(first_requests_within_the_rate_are_answered)
{
  Scenario::Options options("first_requests", 3);
  options.mWarmUp = false;
  Scenario scenario(options);
  scenario.startTraffic();
  scenario.runTrafficFor(1_s, 1_s);
  const Observations observations = scenario.stopTraffic();
  checkInvariants(observations);
  expectNoViolations(findUnansweredRequests(observations.mResults));
}

BOOST_AUTO_TEST_CASE(bodies_arrive_complete_or_fail)
{
  Scenario scenario({ "bodies", 2 });
  const Fleet& fleet = scenario.fleet();
  constexpr std::size_t kMebibyte = 1U << 20;
  for (const std::string& ingressVm : fleet.vmsOf("catalog")) {
    for (const std::size_t bytes :
         { std::size_t{ 0 }, std::size_t{ 1 }, kMebibyte, 16 * kMebibyte }) {
      checkBody(fleet, ingressVm, bytes);
    }
    const LoadResult truncated = call(request(
      fleet.callerAddress(ingressVm), "/catalog/template-1/page?cut=1"));
    BOOST_TEST(truncated.mStatus != 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}

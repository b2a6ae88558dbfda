#include "support/address_block.h"
#include "support/child_process.h"
#include "support/http_call.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

const std::string kToolsDirectory =
  std::string(RADISHROAD_BUILD_DIR) + "/tools/";
const std::string kOutputFile =
  std::string(RADISHROAD_BUILD_DIR) + "/test-logs/relay.out";

/// A simulated upstream behind a relay.
class RelayFixture
{
public:
  RelayFixture()
    : mUpstream({ kToolsDirectory + "rr-upstream",
                  "--address",
                  mAddresses.ip(2) + ":9000",
                  "--vm",
                  "a" },
                kOutputFile)
    , mRelay({ kToolsDirectory + "rr-relay",
               "--control",
               mControlAddress,
               "--link",
               "up=" + mRelayedAddress + "," + mAddresses.ip(2) + ":9000" },
             kOutputFile)
  {
    const bool isUp = waitFor(
      [this] { return get("http://" + mRelayedAddress + "/x").mStatus == 200; },
      10_s);
    BOOST_REQUIRE(isUp);
  }

  void setRule(nlohmann::json aRule)
  {
    aRule["link"] = "u*";
    const LoadResult result =
      post("http://" + mControlAddress + "/links", aRule.dump());
    BOOST_REQUIRE(result.mStatus == 200);
  }

  LoadResult sendRequest(Millis aTimeout = 2_s)
  {
    return get("http://" + mRelayedAddress + "/x", aTimeout);
  }

  AddressBlock mAddresses;
  std::string mControlAddress = mAddresses.ip(3) + ":9600";
  std::string mRelayedAddress = mAddresses.ip(3) + ":9000";
  ChildProcess mUpstream;
  ChildProcess mRelay;
};

}

BOOST_FIXTURE_TEST_SUITE(relay, RelayFixture)

BOOST_AUTO_TEST_CASE(cut_link)
{
  setRule({ { "cut", true } });
  BOOST_TEST(sendRequest().mStatus == 0);
  setRule({ { "cut", false } });
  BOOST_TEST(sendRequest().mStatus == 200);
}

BOOST_AUTO_TEST_CASE(cut_link_from_one_source)
{
  setRule({ { "cut", true }, { "source", "127.0.0.9" } });
  BOOST_TEST(sendRequest().mStatus == 200);
  setRule({ { "cut", true }, { "source", "127.0.0.1" } });
  BOOST_TEST(sendRequest().mStatus == 0);
}

BOOST_AUTO_TEST_CASE(held_response_arrives_after_release)
{
  setRule({ { "hold_back", true } });
  LoadResult result;
  std::thread sender([&] { result = sendRequest(10_s); });
  BOOST_TEST(sendRequest(300_ms).mStatus == 0);
  const std::int64_t released = wallNow().mCount;
  setRule({ { "hold_back", false } });
  sender.join();
  BOOST_TEST(result.mStatus == 200);
  BOOST_TEST(result.mLatencyMs >= 200);
  BOOST_TEST(result.mEndedWallMs >= released);
}

BOOST_AUTO_TEST_CASE(delay)
{
  setRule({ { "delay_ms", 100 } });
  const LoadResult result = sendRequest();
  BOOST_TEST(result.mStatus == 200);
  BOOST_TEST(result.mLatencyMs >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "radishroad/base/json_log.h"
#include "radishroad/operator/admin_server.h"
#include "support/raw_client.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace radishroad;
using radishroad::test::RawClient;
using radishroad::test::RawResponse;

namespace {

class Fixture
{
public:
  Fixture()
    : mServer("127.0.0.1:0",
              { [this] { return mReady.load(); },
                [] {
                  return nlohmann::json{ { "vm", "n1" } };
                } },
              mMetrics)
  {
    BOOST_REQUIRE(mServer.start().has_value());
  }

  RawResponse get(const std::string& aTarget,
                  const std::string& aMethod = "GET")
  {
    RawClient client(mServer.port());
    client.send(aMethod + " " + aTarget +
                " HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::optional<RawResponse> response = client.receive();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(client.receiveEnd());
    return *response;
  }

  std::atomic<bool> mReady{ false };
  Metrics mMetrics;
  AdminServer mServer;
};

}

BOOST_AUTO_TEST_SUITE(admin_server)

BOOST_AUTO_TEST_CASE(endpoints)
{
  Fixture fixture;
  fixture.mMetrics.count("requests_total");
  logEvent(LogLevel::Info, "admin_test", { { "n", 1 } });
  BOOST_TEST(fixture.get("/health").mStatus == 200);
  BOOST_TEST(fixture.get("/state?x=1").mBody == "{\"vm\":\"n1\"}\n");
  BOOST_TEST(fixture.get("/metrics").mBody.find("requests_total 1\n") !=
             std::string::npos);
  const RawResponse events = fixture.get("/events");
  BOOST_TEST(events.mBody.find("\"event\":\"admin_test\"") !=
             std::string::npos);
  BOOST_TEST(events.field("Content-Type") == "application/x-ndjson");
  BOOST_TEST(fixture.get("/other").mStatus == 404);
  BOOST_TEST(fixture.get("/health", "POST").mStatus == 405);
}

BOOST_AUTO_TEST_CASE(readiness_follows_the_hook)
{
  Fixture fixture;
  BOOST_TEST(fixture.get("/ready").mStatus == 503);
  fixture.mReady = true;
  BOOST_TEST(fixture.get("/ready").mStatus == 200);
}

BOOST_AUTO_TEST_SUITE_END()

#include "radishroad/log/log_client.h"
#include "support/address_block.h"
#include "support/child_process.h"
#include "support/http_call.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

Bytes
toBytes(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

/// A log server (rr-logd) that keeps three records.
class LogFixture
{
public:
  LogFixture()
    : mProcess({ std::string(RADISHROAD_BUILD_DIR) + "/tools/rr-logd",
                 "--address",
                 mAddress,
                 "--keep",
                 "3" },
               std::string(RADISHROAD_BUILD_DIR) + "/test-logs/logd.out")
    , mClient(mAddress)
  {
    const bool isUp =
      waitFor([this] { return mClient.bounds("s", 500_ms).has_value(); }, 10_s);
    BOOST_REQUIRE(isUp);
  }

  void setFaults(const std::string& aFaults)
  {
    post("http://" + mAddress + "/control/faults", aFaults);
  }

  std::string mAddress = AddressBlock().ip(1) + ":9500";
  ChildProcess mProcess;
  LogClient mClient;
};

}

BOOST_FIXTURE_TEST_SUITE(log_server, LogFixture)

BOOST_AUTO_TEST_CASE(appends_and_retained_records)
{
  for (std::uint64_t i = 0; i < 5; ++i) {
    BOOST_TEST(mClient.append("s", toBytes("abc"), 1_s).value() == i);
  }
  const LogClient::Bounds bounds = mClient.bounds("s", 1_s).value();
  BOOST_TEST(bounds.mOldest == 2U);
  BOOST_TEST(bounds.mNext == 5U);
  const std::vector<LogRecord> records =
    mClient.read("s", 3, 0_ms, 1_s).value();
  BOOST_REQUIRE(records.size() == 2U);
  BOOST_TEST(records[0].mOffset == 3U);
  BOOST_TEST((records[0].mData == toBytes("abc")));
  const Result<std::vector<LogRecord>> expired =
    mClient.read("s", 1, 0_ms, 1_s);
  BOOST_REQUIRE(!expired);
  BOOST_TEST((expired.error().mCode == ErrorCode::Expired));
}

BOOST_AUTO_TEST_CASE(append_with_lost_answer_takes_effect)
{
  setFaults(R"({"lose_next_answers":1})");
  const Result<std::uint64_t> lost = mClient.append("s", toBytes("x"), 1_s);
  BOOST_REQUIRE(!lost);
  BOOST_TEST((lost.error().mCode == ErrorCode::Unknown));
  BOOST_TEST(mClient.bounds("s", 1_s).value().mNext == 1U);
}

BOOST_AUTO_TEST_CASE(outage_ends_long_poll)
{
  std::thread outage([this] { setFaults(R"({"outage":true})"); });
  const Millis start = monotonicNow();
  const Result<std::vector<LogRecord>> read = mClient.read("s", 0, 5_s, 6_s);
  outage.join();
  BOOST_TEST(!read.has_value());
  BOOST_TEST((monotonicNow() - start < 4_s));
  const Result<std::uint64_t> refused = mClient.append("s", toBytes("x"), 1_s);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().mCode == ErrorCode::Unavailable));
  setFaults(R"({"outage":false})");
  BOOST_TEST(mClient.bounds("s", 1_s).value().mNext == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}

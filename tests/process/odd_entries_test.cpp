#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

/// Entries that another writer may leave: reports, records of the store and
/// handover tokens that cannot be read.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Vm = PlatformSite::Vm;

constexpr std::size_t kDepth = 200000;
/// Time within which a good entry must be followed.
constexpr Millis kFollowTime = 10_s;
constexpr int kKeys = 65536;
constexpr int kKeyStep = 4099;

std::string
nested()
{
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

nlohmann::json
reportOf(const Vm& aVm)
{
  return { { "Address", aVm.mUpstream->address() },
           { "born", wallNow().mCount },
           { "Info",
             { { "Service", aVm.mService },
               { "Version", "v1" },
               { "Zone", aVm.mZone },
               { "Slots", 9 } } },
           { "Status",
             { { "State", "ready" }, { "Seq", 1 }, { "WarmupLeftMs", 0 } } } };
}

struct OddReport
{
  std::string mBody;
  int mStatus = 400;
};

/// Reports that name no upstream to use.
std::vector<OddReport>
oddReports(const Vm& aVm)
{
  const nlohmann::json valid = reportOf(aVm);
  std::vector<OddReport> reports{
    { "" }, { "[]" }, { "\xFF\xFE" }, { nested() }
  };
  const auto with =
    [&](const char* aPointer, const nlohmann::json& aValue, int aStatus) {
      nlohmann::json body = valid;
      body[nlohmann::json::json_pointer(aPointer)] = aValue;
      reports.push_back({ body.dump(), aStatus });
    };
  with("/Address", nullptr, 400);
  with("/Address", "127.0.0.1:65536", 400);
  with("/Info/Zone", nullptr, 400);
  with("/Info/Slots", 1000000000000000, 400);
  with("/Status/WarmupLeftMs", 1000000000000000, 400);
  with("/Status/Seq", 1e300, 400);
  with("/Status/State", "odd", 400);
  reports.push_back({ "{\"odd\":" + nested() + "," + valid.dump().substr(1) });
  // These can be read; they are older than those of the real upstream.
  with("/Address", "127.0.0.1:9", 200);
  with("/born", 999999999999999, 200);
  return reports;
}

/// Status of the answer to a report; 0 if there is none.
int
sendReport(const Vm& aVm, const std::string& aId, const std::string& aBody)
{
  RawClient client(PlatformSite::kReports, aVm.mIp);
  client.send("POST /api/rpc?call=instances.heartbeat&of=" + aId +
              " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
              std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  const std::optional<RawResponse> answer = client.receive();
  return answer ? answer->mStatus : 0;
}

/// Status of the answer to a request; 0 if there is none.
int
request(const Vm& aVm, const std::string& aService, int aKey)
{
  try {
    RawClient client(PlatformSite::kCallers, aVm.mIp);
    client.send("GET /" + aService + "/x HTTP/1.1\r\nHost: shop.example\r\n" +
                "X-Request-Id: r" + std::to_string(aKey) +
                "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " +
                std::to_string(aKey) + "\r\n\r\n");
    const std::optional<RawResponse> answer = client.receive();
    return answer ? answer->mStatus : 0;
  } catch (const std::runtime_error&) {
    return 0;
  }
}

/// Whether each daemon gets an answer for keys of all shards.
bool
servesAllKeys(std::span<const Vm> aVms)
{
  for (const Vm& vm : aVms) {
    for (int key = 0; key < kKeys; key += kKeyStep) {
      if (request(vm, "catalog", key) != 200) {
        return false;
      }
    }
  }
  return true;
}

void
requireAllRun(PlatformSite& aSite)
{
  for (Vm& vm : aSite.vms()) {
    BOOST_REQUIRE_MESSAGE(vm.mDaemon->isRunning(), vm.mName << " has ended");
  }
}

PlatformSite::Service
keyedService(const char* aName)
{
  PlatformSite::Service service;
  service.mName = aName;
  service.mKeyed = true;
  return service;
}

}

BOOST_AUTO_TEST_SUITE(odd_entries)

// The real upstream's reports were outdated from then on.
BOOST_AUTO_TEST_CASE(odd_reports_change_nothing)
{
  PlatformSite site("odd_reports", { keyedService("catalog") });
  BOOST_REQUIRE(site.start());
  BOOST_REQUIRE(
    waitFor([&] { return servesAllKeys(site.vms()); }, kFollowTime));
  for (const Vm& vm : site.vms()) {
    for (const OddReport& odd : oddReports(vm)) {
      for (const std::string& id : { "i-" + vm.mName, std::string("i-odd") }) {
        BOOST_TEST(sendReport(vm, id, odd.mBody) == odd.mStatus,
                   odd.mBody.substr(0, 200));
      }
    }
  }
  requireAllRun(site);
  BOOST_TEST(servesAllKeys(site.vms()));
}

// The daemons ended, or read the odd record again and again.
BOOST_AUTO_TEST_CASE(odd_records_of_the_store_are_passed_over)
{
  PlatformSite site("odd_records", { keyedService("catalog") });
  BOOST_REQUIRE(site.start());
  BOOST_REQUIRE(
    waitFor([&] { return servesAllKeys(site.vms()); }, kFollowTime));
  FakeStore& store = site.store();
  store.put("keyed.op",
            "config",
            R"({"Version":"r5","Routes":{"Columns":["Name","odd"],)"
            R"("Rows":[["a",)" +
              nested() + "]]}}");
  store.put("keyed.op", "config", R"({"Version":"r99999999999999999999"})");
  store.put("keyed.op", "config", "\xFF");
  store.put("keyed.op", "evacuate/\xE9\xFF", "{}");
  store.put("keyed.op", "\xFF", nested());
  store.putRaw("keyed.op", "\xFF");
  store.putRaw("keyed.op", "");
  store.put("keyed.radishroad.cell-catalog", "odd", "odd");
  store.putRaw("keyed.radishroad.cell-catalog", "\xFF");
  PlatformSite::Service later;
  later.mName = "later";
  later.mVms = 0;
  site.publish({ keyedService("catalog"), later }, 6);
  const auto isFollowed = [&](const Vm& aVm) {
    // A known route of a service without upstreams.
    return request(aVm, "later", 0) == 503;
  };
  for (const Vm& vm : site.vms()) {
    BOOST_TEST(waitFor([&] { return isFollowed(vm); }, kFollowTime), vm.mName);
  }
  requireAllRun(site);
  // The cell's state is read and written past the odd records.
  site.setZoneOutOfService("z1", true);
  BOOST_TEST(waitFor(
    [&] { return servesAllKeys(std::span<const Vm>(site.vms()).subspan(1)); },
    kFollowTime));
  site.vms().front().mDaemon->kill();
  site.startDaemon(site.vms().front());
  BOOST_TEST(
    waitFor([&] { return isFollowed(site.vms().front()); }, kFollowTime));
  site.setZoneOutOfService("z1", false);
  BOOST_TEST(waitFor([&] { return servesAllKeys(site.vms()); }, kFollowTime));
  requireAllRun(site);
}

// The next owners of the keys ended with an uncaught exception.
BOOST_AUTO_TEST_CASE(odd_handover_tokens_end_no_daemon)
{
  PlatformSite::Service service = keyedService("catalog");
  service.mTokenPrefix = "\xE9";
  PlatformSite site("odd_handovers", { service });
  BOOST_REQUIRE(site.start());
  BOOST_REQUIRE(
    waitFor([&] { return servesAllKeys(site.vms()); }, kFollowTime));
  site.setZoneOutOfService("z1", true);
  std::this_thread::sleep_for(
    std::chrono::milliseconds(PlatformSite::kZoneOutTime.mCount));
  requireAllRun(site);
  BOOST_TEST(waitFor([&] { return servesAllKeys(site.vms()); }, kFollowTime));
  requireAllRun(site);
}

BOOST_AUTO_TEST_SUITE_END()

}

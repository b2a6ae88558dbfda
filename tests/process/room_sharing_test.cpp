#include "support/platform_site.h"
#include "support/raw_client.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr int kCallersPerKind = 40;
constexpr Millis kCallInterval = 200_ms;
constexpr Millis kLoadTime = 7_s;
/// Until shares have settled.
constexpr Millis kSettleTime = 2_s;
constexpr int kSlots = 4;
constexpr Millis kRunTime = 100_ms;
const std::string kOrders = "/catalog/once/order";
const std::string kLookups = "/catalog/lookup/";

struct Call
{
  Millis mSentAt;
  Millis mTook;
  int mStatus = 0;
  bool mHasRetryTime = false;
};

void
sleepUntil(Millis aTime)
{
  const Millis left = std::max(Millis{}, aTime - monotonicNow());
  std::this_thread::sleep_for(std::chrono::milliseconds(left.mCount));
}

/// Sends a request of one kind every kCallInterval, or later if an answer takes
/// longer.
std::vector<Call>
callRegularly(const PlatformSite::Vm& aVm,
              const std::string& aPath,
              int aNumber,
              Millis aFrom)
{
  std::vector<Call> calls;
  std::unique_ptr<RawClient> client;
  Millis next = aFrom + kCallInterval * aNumber / kCallersPerKind;
  while (next < aFrom + kLoadTime) {
    sleepUntil(next);
    if (!client) {
      client = std::make_unique<RawClient>(PlatformSite::kCallers, aVm.mIp);
    }
    Call call;
    call.mSentAt = monotonicNow();
    client->send("POST " + aPath + " HTTP/1.1\r\nHost: shop.example\r\n" +
                 "X-Request-Id: " + aPath.substr(aPath.size() - 3) +
                 std::to_string(aNumber) + "." + std::to_string(calls.size()) +
                 "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
    const std::optional<RawResponse> answer = client->receive();
    call.mTook = monotonicNow() - call.mSentAt;
    call.mStatus = answer ? answer->mStatus : 0;
    call.mHasRetryTime = answer && !answer->field("Retry-After").empty();
    if (!answer || answer->mEndsWithConnection ||
        answer->field("Connection") == "close") {
      client.reset();
    }
    calls.push_back(call);
    next = std::max(next + kCallInterval, monotonicNow());
  }
  return calls;
}

struct Summary
{
  int mOffered = 0;
  int mServed = 0;
  int mRefused = 0;
  int mRefusedAtOnce = 0;
  int mWithoutRetryTime = 0;

  double share() const { return static_cast<double>(mServed) / mOffered; }
};

Summary
summarize(const std::vector<std::vector<Call>>& aCalls, Millis aFrom)
{
  Summary summary;
  for (const std::vector<Call>& calls : aCalls) {
    for (const Call& call : calls) {
      if (call.mSentAt < aFrom + kSettleTime) {
        continue;
      }
      const bool isRefused = call.mStatus == 503 || call.mStatus == 429;
      ++summary.mOffered;
      summary.mServed += call.mStatus == 200 ? 1 : 0;
      summary.mRefused += isRefused ? 1 : 0;
      summary.mRefusedAtOnce += isRefused && call.mTook < kRunTime ? 1 : 0;
      summary.mWithoutRetryTime += isRefused && !call.mHasRetryTime ? 1 : 0;
    }
  }
  return summary;
}

}

BOOST_AUTO_TEST_SUITE(room_sharing)

// Guards against orders that are served less often than lookups, and against
// requests that wait before they are refused. Three upstreams run 120 requests
// a second and are asked for 400.
BOOST_AUTO_TEST_CASE(overload_is_refused_at_once_and_spares_the_urgent_kind)
{
  PlatformSite::Service service{ "catalog" };
  service.mSlots = kSlots;
  service.mSharesRoom = true;
  service.mRunTime = [](const std::string&) { return kRunTime; };
  service.mFurtherRoutes = {
    { kOrders, "non_idempotent", 1, 400_ms },
    { kLookups, "idempotent", 2, 400_ms },
    { "/catalog/drawing/", "download", 2, 400_ms },
  };
  PlatformSite site("room_sharing", { service });
  BOOST_REQUIRE(site.start());
  const Millis from = monotonicNow() + 200_ms;
  std::map<std::string, std::vector<std::vector<Call>>> calls;
  std::vector<std::thread> threads;
  for (const std::string& path : { kOrders, kLookups }) {
    calls[path].resize(kCallersPerKind);
    for (int n = 0; n < kCallersPerKind; ++n) {
      const std::size_t vm = static_cast<std::size_t>(n) % site.vms().size();
      std::vector<Call>& mine = calls[path][static_cast<std::size_t>(n)];
      threads.emplace_back([&site, &mine, path, vm, n, from] {
        mine = callRegularly(site.vms()[vm], path, n, from);
      });
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const Summary orders = summarize(calls[kOrders], from);
  const Summary lookups = summarize(calls[kLookups], from);
  for (const Summary& kind : { orders, lookups }) {
    BOOST_TEST_MESSAGE("offered " << kind.mOffered << " served " << kind.mServed
                                  << " refused " << kind.mRefused << " at once "
                                  << kind.mRefusedAtOnce);
    BOOST_TEST(kind.mRefusedAtOnce * 100 >= kind.mRefused * 95);
    BOOST_TEST(kind.mWithoutRetryTime == 0);
  }
  BOOST_TEST(orders.mRefused + lookups.mRefused > 0);
  BOOST_TEST(orders.share() >= lookups.share() - 0.05);
  BOOST_TEST(lookups.share() >= (orders.share() + lookups.share()) / 2 / 4);
}

BOOST_AUTO_TEST_SUITE_END()

}

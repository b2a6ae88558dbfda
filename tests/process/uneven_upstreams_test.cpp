#include "support/platform_site.h"
#include "support/raw_client.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

constexpr int kSlots = 9;
/// Beyond so many runs at a time one of three upstreams slows down.
constexpr int kSustained = 5;
constexpr Millis kRunTime = 150_ms;
constexpr Millis kObjective = 400_ms;
/// Two upstreams run 120 requests a second, the third at most 33 more.
constexpr int kCallers = 40;
constexpr Millis kInterval = 290_ms;
constexpr Millis kLearnTime = 6_s;
constexpr Millis kMeasuredTime = 10_s;

struct Counts
{
  int mSent = 0;
  int mInTime = 0;
};

/// Sends 138 requests a second and returns those after the time to learn.
Counts
countInTime(const std::string& aName, bool aIsAdaptive)
{
  PlatformSite::Service service;
  service.mName = "library";
  service.mSlots = kSlots;
  service.mRunTime = [](const std::string&) { return kRunTime; };
  service.mFirstSlowsBeyond = kSustained;
  service.mAdaptiveConcurrency = aIsAdaptive;
  PlatformSite site(aName, { service });
  BOOST_REQUIRE(site.start());
  std::atomic<int> sent{ 0 };
  std::atomic<int> inTime{ 0 };
  const Millis start = monotonicNow();
  const auto call = [&](int aCaller) {
    const std::uint32_t ip =
      site.vms()[static_cast<std::size_t>(aCaller) % site.vms().size()].mIp;
    Millis at = start + kInterval * aCaller / kCallers;
    for (int n = 0; at < start + kLearnTime + kMeasuredTime; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(
        std::max(Millis{}, at - monotonicNow()).mCount));
      const std::string id =
        "c" + std::to_string(aCaller) + "-" + std::to_string(n);
      bool answered = false;
      try {
        RawClient client(PlatformSite::kCallers, ip);
        client.send("GET /library/" + id +
                    " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: 2000\r\n\r\n");
        const std::optional<RawResponse> response = client.receive();
        answered = response && response->mStatus == 200;
      } catch (const std::runtime_error&) {
        // Counted as not answered.
      }
      if (at >= start + kLearnTime) {
        ++sent;
        inTime += answered && monotonicNow() - at <= kObjective ? 1 : 0;
      }
      at = at + kInterval;
    }
  };
  std::vector<std::thread> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back(call, n);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return { sent, inTime };
}

}

BOOST_AUTO_TEST_SUITE(uneven_upstreams)

// One of three upstreams slows down beyond half of its slots, and a gate that
// fills all of them makes its requests late.
BOOST_AUTO_TEST_CASE(upstream_that_slows_down_is_not_overfilled)
{
  const Counts before = countInTime("uneven_off", false);
  const Counts after = countInTime("uneven_on", true);
  BOOST_TEST_MESSAGE("in time " << after.mInTime << " of " << after.mSent
                                << " against " << before.mInTime << " of "
                                << before.mSent);
  BOOST_TEST(after.mInTime * before.mSent > before.mInTime * after.mSent);
  BOOST_TEST(after.mInTime >= after.mSent * 8 / 10);
}

BOOST_AUTO_TEST_SUITE_END()

}

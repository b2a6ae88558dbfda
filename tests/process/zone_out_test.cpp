#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Vm = PlatformSite::Vm;

constexpr Millis kRequestInterval{ 10 };
constexpr int kKeys = 65536;
const std::string kZone = "z1";

void
sleepFor(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime.mCount));
}

struct Exchange
{
  Millis mSentAt;
  int mStatus = 0;
};

/// Sends requests of keys to the services in turn, through one daemon.
class KeyTraffic
{
public:
  KeyTraffic(const Vm& aVm, std::vector<std::string> aServices)
    : mName(aVm.mName)
    , mIp(aVm.mIp)
    , mServices(std::move(aServices))
    , mThread([this] { run(); })
  {
  }
  KeyTraffic(const KeyTraffic&) = delete;
  KeyTraffic& operator=(const KeyTraffic&) = delete;
  ~KeyTraffic() { stop(); }

  const std::vector<Exchange>& stop()
  {
    mStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mExchanges;
  }

private:
  void run()
  {
    constexpr int kKeyStep = 4099;
    for (int n = 0; !mStopped; ++n) {
      sleepFor(kRequestInterval);
      Exchange exchange{ monotonicNow() };
      try {
        RawClient client(PlatformSite::kCallers, mIp);
        client.send(
          "GET /" + mServices[n % mServices.size()] +
          "/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + mName + "." +
          std::to_string(n) + "\r\nX-Deadline-Ms: 800\r\nX-Shard-Key: " +
          std::to_string(n * kKeyStep % kKeys) + "\r\n\r\n");
        const std::optional<RawResponse> answer = client.receive();
        exchange.mStatus = answer ? answer->mStatus : 0;
      } catch (const std::runtime_error&) {
        // The daemon is down.
      }
      mExchanges.push_back(exchange);
    }
  }

  const std::string mName;
  const std::uint32_t mIp;
  const std::vector<std::string> mServices;
  std::vector<Exchange> mExchanges;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

/// Keyed services with a single VM each, in zone z1. Their keys cannot move, so
/// that only the time limit ends the requests to the zone.
struct SingleOwnerSite
{
  explicit SingleOwnerSite(const std::string& aName)
    : mSite(aName,
            { { "keyed", true, false, 1 },
              { "reported", true, true, 1 },
              { "plain", false, false, 3 } })
  {
    BOOST_REQUIRE(mSite.start());
    for (Vm& vm : mSite.vms()) {
      mTraffic.push_back(std::make_unique<KeyTraffic>(
        vm, std::vector<std::string>{ "keyed", "reported" }));
    }
    BOOST_REQUIRE(waitFor([this] { return isServedSince(Millis{}); }, 20_s));
  }

  Vm& owner(std::size_t aIndex) { return mSite.vms().at(aIndex); }

  /// Whether each owner has run a request since then.
  bool isServedSince(Millis aFrom)
  {
    const auto isServed = [&](std::size_t aIndex) {
      return std::ranges::any_of(
        owner(aIndex).mUpstream->runs(),
        [&](const PlatformRun& aRun) { return aRun.mAt >= aFrom; });
    };
    return isServed(0) && isServed(1);
  }

  /// Checks which requests reached the zone that went out of service at aOutAt
  /// and still is, and that it is served again once it returns.
  void checkLimit(Millis aOutAt)
  {
    const Millis limit = aOutAt + PlatformSite::kZoneOutTime;
    for (const std::size_t n : { 0U, 1U }) {
      Millis last;
      int late = 0;
      for (const PlatformRun& run : owner(n).mUpstream->runs()) {
        last = std::max(last, run.mAt);
        late += run.mAt > limit ? 1 : 0;
      }
      BOOST_TEST(late == 0,
                 owner(n).mName << ": " << late
                                << " requests reached the zone too late, up to "
                                << (last - aOutAt).mCount << " ms after");
    }
    mSite.setZoneOutOfService(kZone, false);
    const Millis backAt = monotonicNow();
    BOOST_TEST(waitFor([&] { return isServedSince(backAt); }, 10_s));
  }

  PlatformSite mSite;
  std::vector<std::unique_ptr<KeyTraffic>> mTraffic;
};

/// Until then requests that are late because of a failure at +3 s have come.
constexpr Millis kObserved{ 9000 };

}

BOOST_AUTO_TEST_SUITE(zone_out)

// A process that started while its zone was out counted the time limit from its
// start.
BOOST_AUTO_TEST_CASE(restarted_daemons_serve_keys_beyond_the_time_limit)
{
  SingleOwnerSite test("zone-out-restart");
  test.mSite.setZoneOutOfService(kZone, true);
  const Millis outAt = monotonicNow();
  sleepFor(3_s);
  for (const std::size_t n : { 0U, 1U }) {
    test.owner(n).mDaemon->signal(SIGKILL);
    BOOST_REQUIRE(test.owner(n).mDaemon->waitForExit(5_s).has_value());
    test.mSite.startDaemon(test.owner(n));
  }
  sleepFor(outAt + kObserved - monotonicNow());
  test.checkLimit(outAt);
}

// A process that was stopped when its zone went out counted the time limit from
// when it learned of that.
BOOST_AUTO_TEST_CASE(frozen_daemons_serve_keys_beyond_the_time_limit)
{
  SingleOwnerSite test("zone-out-freeze");
  for (const std::size_t n : { 0U, 1U }) {
    test.owner(n).mDaemon->signal(SIGSTOP);
  }
  test.mSite.setZoneOutOfService(kZone, true);
  const Millis outAt = monotonicNow();
  sleepFor(3500_ms);
  for (const std::size_t n : { 0U, 1U }) {
    test.owner(n).mDaemon->signal(SIGCONT);
  }
  sleepFor(outAt + kObserved - monotonicNow());
  test.checkLimit(outAt);
}

// The entries of a restored copy were read as all that operators had written.
BOOST_AUTO_TEST_CASE(a_restored_copy_puts_no_zone_back_in_service)
{
  SingleOwnerSite test("zone-out-restored");
  test.mSite.store().copy();
  test.mSite.setZoneOutOfService(kZone, true);
  const Millis outAt = monotonicNow();
  sleepFor(PlatformSite::kZoneOutTime + 1_s);
  test.mSite.store().restore();
  // Operators write again what the copy lacks within two seconds.
  sleepFor(1800_ms);
  test.mSite.setZoneOutOfService(kZone, true);
  sleepFor(500_ms);
  test.checkLimit(outAt);
}

// Daemons without the store took each other's word that their zone was in
// service, and counted the time limit from then.
BOOST_AUTO_TEST_CASE(peers_without_the_store_confirm_no_zone)
{
  PlatformSite site("zone-out-peers", { { "keyed", true, false, 3 } });
  BOOST_REQUIRE(site.start());
  std::vector<std::unique_ptr<KeyTraffic>> traffic;
  for (const Vm& vm : site.vms()) {
    traffic.push_back(
      std::make_unique<KeyTraffic>(vm, std::vector<std::string>{ "keyed" }));
  }
  // Until all keys have owners and reads of the store are old.
  sleepFor(8_s);
  site.store().setFault(FakeStore::Fault::Busy);
  sleepFor(1_s);
  site.setZoneOutOfService(kZone, true);
  const Millis outAt = monotonicNow();
  sleepFor(4_s);
  // Keys cannot move, so that only the time limit ends the requests.
  site.store().setFault(FakeStore::Fault::RejectsAppends);
  sleepFor(outAt + kObserved - monotonicNow());
  const Millis limit = outAt + PlatformSite::kZoneOutTime;
  for (const Vm& vm : site.vms()) {
    const std::vector<PlatformRun> runs = vm.mUpstream->runs();
    const auto late = std::ranges::count_if(
      runs, [&](const PlatformRun& aRun) { return aRun.mAt > limit; });
    BOOST_TEST((vm.mZone != kZone || late == 0), vm.mName << ": " << late);
    BOOST_TEST((vm.mZone == kZone || late > 0), vm.mName << " runs nothing");
  }
}

BOOST_AUTO_TEST_CASE(keys_are_served_while_their_zone_goes_out_of_service)
{
  PlatformSite site(
    "zone-out-orderly",
    { { "keyed", true, false, 4 }, { "reported", true, true, 4 } });
  BOOST_REQUIRE(site.start());
  std::vector<std::unique_ptr<KeyTraffic>> traffic;
  for (const Vm& vm : site.vms()) {
    traffic.push_back(std::make_unique<KeyTraffic>(
      vm, std::vector<std::string>{ "keyed", "reported" }));
  }
  // Until all keys have owners and reads of the store are old.
  sleepFor(8_s);
  site.setZoneOutOfService(kZone, true);
  const Millis outAt = monotonicNow();
  sleepFor(kObserved);
  int sent = 0;
  int served = 0;
  for (const std::unique_ptr<KeyTraffic>& each : traffic) {
    for (const Exchange& exchange : each->stop()) {
      if (exchange.mSentAt >= outAt) {
        ++sent;
        served += exchange.mStatus == 200 ? 1 : 0;
      }
    }
  }
  BOOST_TEST_MESSAGE("served " << served << " of " << sent);
  BOOST_TEST(served * 20 >= sent * 19);
  const Millis limit = outAt + PlatformSite::kZoneOutTime;
  for (const Vm& vm : site.vms()) {
    const std::vector<PlatformRun> runs = vm.mUpstream->runs();
    const auto late = std::ranges::count_if(
      runs, [&](const PlatformRun& aRun) { return aRun.mAt > limit; });
    BOOST_TEST((vm.mZone != kZone || late == 0), vm.mName << ": " << late);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

/// Refusals for good (401, 404): what a confirmed configuration allows is never
/// refused so, and what none allows is, at once.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Service = PlatformSite::Service;
using Vm = PlatformSite::Vm;
using Workspace = PlatformSite::Workspace;

constexpr Millis kServeTimeout = 10_s;
constexpr Millis kProbeInterval = 100_ms;
/// An answer that takes no longer is one at once.
constexpr Millis kAtOnce = 500_ms;
const std::string kOldKey = "old-key";
const std::string kNewKey = "new-key";

/// The answer to one request.
struct Probe
{
  std::string mVm;
  std::string mPath;
  Millis mSentAt;
  Millis mTook;
  /// 0 if there was none.
  int mStatus = 0;
  bool mHasRetryAfter = false;

  std::string describe(Millis aSince) const
  {
    return mVm + " answered " + mPath + ", sent after " +
           std::to_string((mSentAt - aSince).mCount) + " ms, with " +
           std::to_string(mStatus) + " after " + std::to_string(mTook.mCount) +
           " ms";
  }
};

Probe
probe(const Vm& aVm, const std::string& aPath, const std::string& aKey)
{
  static int sCount = 0;
  Probe probe{ aVm.mName, aPath, monotonicNow(), {} };
  try {
    RawClient client(PlatformSite::kCallers, aVm.mIp);
    client.send("GET " + aPath + "x HTTP/1.1\r\nHost: shop.example\r\n" +
                "X-Request-Id: p" + std::to_string(++sCount) +
                "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: 7\r\n" +
                "Authorization: Token " + aKey + "\r\n\r\n");
    const std::optional<RawResponse> answer = client.receive();
    probe.mStatus = answer ? answer->mStatus : 0;
    probe.mHasRetryAfter = answer && !answer->field("Retry-After").empty();
  } catch (const std::runtime_error&) {
    // The daemon is down.
  }
  probe.mTook = monotonicNow() - probe.mSentAt;
  return probe;
}

bool
isRefusalForGood(const Probe& aProbe)
{
  return aProbe.mStatus == 401 || aProbe.mStatus == 403 ||
         aProbe.mStatus == 404;
}

/// A service with three VMs, whose callers need a key.
class Site
{
public:
  explicit Site(const std::string& aName, bool aIsKeyed = false)
    : mSite(aName, { service(aIsKeyed, {}) })
    , mIsKeyed(aIsKeyed)
  {
    publish({}, { kOldKey });
    BOOST_REQUIRE(mSite.start());
    BOOST_REQUIRE(waitFor(
      [this] {
        return std::ranges::all_of(mSite.vms(), [](const Vm& aVm) {
          return probe(aVm, "/catalog/", kOldKey).mStatus == 200;
        });
      },
      kServeTimeout));
  }

  PlatformSite& operator*() { return mSite; }
  PlatformSite* operator->() { return &mSite; }

  /// Returns when the store has confirmed the configuration.
  Millis publish(const std::vector<std::string>& aPrefixes,
                 const std::vector<std::string>& aKeys)
  {
    mSite.publish(
      { service(mIsKeyed, aPrefixes) }, ++mVersion, { { "w", aKeys } });
    return monotonicNow();
  }

  /// Sends the request to each VM but aSkipped in turn until aTime has passed.
  std::vector<Probe> probeAll(const std::string& aPath,
                              const std::string& aKey,
                              Millis aTime,
                              const Vm* aSkipped = nullptr)
  {
    std::vector<Probe> probes;
    const Millis end = monotonicNow() + aTime;
    while (monotonicNow() < end) {
      for (const Vm& vm : mSite.vms()) {
        if (&vm != aSkipped) {
          probes.push_back(probe(vm, aPath, aKey));
        }
      }
      std::this_thread::sleep_for(
        std::chrono::milliseconds(kProbeInterval.mCount));
    }
    return probes;
  }

  bool waitUntilServed(const std::string& aPath, const std::string& aKey)
  {
    return waitFor(
      [&] {
        return std::ranges::all_of(mSite.vms(), [&](const Vm& aVm) {
          return probe(aVm, aPath, aKey).mStatus == 200;
        });
      },
      kServeTimeout);
  }

private:
  static Service service(bool aIsKeyed, std::vector<std::string> aPrefixes)
  {
    Service service;
    service.mName = "catalog";
    service.mKeyed = aIsKeyed;
    service.mPrefixes = std::move(aPrefixes);
    return service;
  }

  PlatformSite mSite;
  bool mIsKeyed;
  int mVersion = 1;
};

/// No request that a configuration allows which was confirmed at aConfirmedAt
/// is refused for good once it has to be in force.
void
checkNotRefusedForGood(const std::vector<Probe>& aProbes, Millis aConfirmedAt)
{
  int late = 0;
  for (const Probe& probe : aProbes) {
    if (probe.mSentAt <= aConfirmedAt + PlatformSite::kConfigTime) {
      continue;
    }
    ++late;
    BOOST_TEST(!isRefusalForGood(probe), probe.describe(aConfirmedAt));
    BOOST_TEST((probe.mTook < kAtOnce), probe.describe(aConfirmedAt));
    const bool mayReturn = probe.mStatus != 503 || probe.mHasRetryAfter;
    BOOST_TEST(mayReturn, probe.describe(aConfirmedAt));
  }
  BOOST_TEST(late > 0);
}

void
checkServedInTime(const std::vector<Probe>& aProbes, Millis aConfirmedAt)
{
  for (const Probe& probe : aProbes) {
    const bool isLate =
      probe.mSentAt > aConfirmedAt + PlatformSite::kConfigTime;
    BOOST_TEST((!isLate || probe.mStatus == 200), probe.describe(aConfirmedAt));
  }
}

/// What was dropped at aDroppedAt is refused with aStatus once that has to be
/// in force.
void
checkRefusedInTime(const std::vector<Probe>& aProbes,
                   Millis aDroppedAt,
                   int aStatus)
{
  int late = 0;
  for (const Probe& probe : aProbes) {
    if (probe.mSentAt > aDroppedAt + PlatformSite::kConfigTime) {
      ++late;
      BOOST_TEST(probe.mStatus == aStatus, probe.describe(aDroppedAt));
    }
  }
  BOOST_TEST(late > 0);
}

constexpr Millis kProbeTime = 6_s;

}

BOOST_AUTO_TEST_SUITE(refusals_for_good)

// CONFIG: reads that wait for news got none, and an added route was refused.
BOOST_AUTO_TEST_CASE(silent_long_polls_hide_no_added_route)
{
  Site site("refusal_silent_route");
  site->store().setLongPollsSilent(true);
  const Millis confirmedAt = site.publish({ "/added/" }, { kOldKey });
  const std::vector<Probe> probes =
    site.probeAll("/added/", kOldKey, kProbeTime);
  checkNotRefusedForGood(probes, confirmedAt);
  checkServedInTime(probes, confirmedAt);
}

BOOST_AUTO_TEST_CASE(silent_long_polls_hide_no_added_key)
{
  Site site("refusal_silent_key", true);
  site->store().setLongPollsSilent(true);
  const Millis confirmedAt = site.publish({}, { kOldKey, kNewKey });
  const std::vector<Probe> probes =
    site.probeAll("/catalog/", kNewKey, kProbeTime);
  checkNotRefusedForGood(probes, confirmedAt);
  checkServedInTime(probes, confirmedAt);
}

// CONFIG: reads that wait for news got none, and what was dropped was served.
BOOST_AUTO_TEST_CASE(silent_long_polls_serve_no_dropped_route)
{
  Site site("refusal_silent_dropped_route");
  site.publish({ "/added/" }, { kOldKey });
  BOOST_REQUIRE(site.waitUntilServed("/added/", kOldKey));
  site->store().setLongPollsSilent(true);
  const Millis droppedAt = site.publish({}, { kOldKey });
  checkRefusedInTime(
    site.probeAll("/added/", kOldKey, kProbeTime), droppedAt, 404);
}

BOOST_AUTO_TEST_CASE(silent_long_polls_serve_no_dropped_key)
{
  Site site("refusal_silent_dropped_key", true);
  site.publish({}, { kOldKey, kNewKey });
  BOOST_REQUIRE(site.waitUntilServed("/catalog/", kNewKey));
  site->store().setLongPollsSilent(true);
  const Millis droppedAt = site.publish({}, { kOldKey });
  checkRefusedInTime(
    site.probeAll("/catalog/", kNewKey, kProbeTime), droppedAt, 401);
}

// The daemon that asks the store for its cell was frozen, and its peers served
// what was dropped.
BOOST_AUTO_TEST_CASE(a_frozen_daemon_serves_no_dropped_route_elsewhere)
{
  Site site("refusal_frozen");
  site->store().setLongPollsSilent(true);
  for (Vm& frozen : site->vms()) {
    site.publish({ "/added/" }, { kOldKey });
    BOOST_REQUIRE(site.waitUntilServed("/added/", kOldKey));
    frozen.mDaemon->signal(SIGSTOP);
    const Millis droppedAt = site.publish({}, { kOldKey });
    const std::vector<Probe> probes =
      site.probeAll("/added/", kOldKey, 4_s, &frozen);
    frozen.mDaemon->signal(SIGCONT);
    checkRefusedInTime(probes, droppedAt, 404);
  }
}

// A read that did not reach the end was taken for all that is confirmed.
BOOST_AUTO_TEST_CASE(a_partial_read_makes_no_added_route_unknown)
{
  Site site("refusal_partial");
  site->store().setOneRecordAtATime(true);
  site->store().setFault(FakeStore::Fault::Slow);
  constexpr int kEarlierVersions = 6;
  for (int n = 0; n < kEarlierVersions; ++n) {
    site.publish({}, { kOldKey });
  }
  const Millis confirmedAt = site.publish({ "/added/" }, { kOldKey });
  checkNotRefusedForGood(site.probeAll("/added/", kOldKey, kProbeTime),
                         confirmedAt);
  site->store().setFault(FakeStore::Fault::None);
  BOOST_TEST(site.waitUntilServed("/added/", kOldKey));
}

// A daemon that cannot ask the store refused an added key as unknown.
BOOST_AUTO_TEST_CASE(a_lost_store_makes_no_added_key_unknown)
{
  Site site("refusal_lost");
  site->store().setFault(FakeStore::Fault::Busy);
  const Millis confirmedAt = site.publish({}, { kOldKey, kNewKey });
  checkNotRefusedForGood(site.probeAll("/catalog/", kNewKey, kProbeTime),
                         confirmedAt);
  const std::vector<Probe> known = site.probeAll("/catalog/", kOldKey, 1_s);
  for (const Probe& probe : known) {
    BOOST_TEST(probe.mStatus == 200, probe.describe(confirmedAt));
  }
  site->store().setFault(FakeStore::Fault::None);
  BOOST_TEST(site.waitUntilServed("/catalog/", kNewKey));
}

BOOST_AUTO_TEST_CASE(a_slow_store_makes_no_added_route_unknown)
{
  Site site("refusal_slow");
  site->store().setLongPollsSilent(true);
  site->store().setFault(FakeStore::Fault::Slow);
  const Millis confirmedAt = site.publish({ "/added/" }, { kOldKey });
  checkNotRefusedForGood(site.probeAll("/added/", kOldKey, kProbeTime),
                         confirmedAt);
}

// A process that starts while the store is away knows less than its peers.
BOOST_AUTO_TEST_CASE(a_start_without_the_store_makes_no_route_unknown)
{
  Site site("refusal_start");
  site->store().setFault(FakeStore::Fault::Busy);
  const Millis confirmedAt = site.publish({ "/added/" }, { kOldKey });
  Vm& vm = site->vms().front();
  vm.mDaemon->kill();
  site->startDaemon(vm);
  checkNotRefusedForGood(site.probeAll("/added/", kOldKey, kProbeTime),
                         confirmedAt);
}

// A process that started on a restored copy took it for all that is confirmed.
BOOST_AUTO_TEST_CASE(a_restored_copy_makes_no_added_key_unknown)
{
  Site site("refusal_restored", true);
  site->store().copy();
  const Millis confirmedAt = site.publish({}, { kOldKey, kNewKey });
  BOOST_REQUIRE(site.waitUntilServed("/catalog/", kNewKey));
  std::this_thread::sleep_for(
    std::chrono::milliseconds(PlatformSite::kConfigTime.mCount));
  site->store().restore();
  Vm& vm = site->vms().front();
  vm.mDaemon->kill();
  site->startDaemon(vm);
  // Operators write again what the copy lacks within two seconds.
  constexpr Millis kWriteAgainTime = 1800_ms;
  const std::vector<Probe> probes =
    site.probeAll("/catalog/", kNewKey, kWriteAgainTime);
  checkNotRefusedForGood(probes, confirmedAt);
  site.publish({}, { kOldKey, kNewKey });
  BOOST_TEST(site.waitUntilServed("/catalog/", kNewKey));
}

// An entry that cannot be read may allow what the one before it did not.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_makes_no_route_unknown)
{
  Site site("refusal_unreadable");
  site->store().put("keyed.op", "config", R"({"Version":"r9","Routes":7})");
  const Millis confirmedAt = monotonicNow();
  checkNotRefusedForGood(site.probeAll("/added/", kOldKey, 4_s), confirmedAt);
  Vm& vm = site->vms().front();
  vm.mDaemon->kill();
  site->startDaemon(vm);
  checkNotRefusedForGood(site.probeAll("/added/", kOldKey, 3_s), confirmedAt);
}

// The store was not asked again after an entry that could not be read.
BOOST_AUTO_TEST_CASE(silent_long_polls_hide_no_mended_configuration)
{
  Site site("refusal_mended");
  site->store().put("keyed.op", "config", R"({"Version":"r9","Routes":7})");
  BOOST_REQUIRE(waitFor(
    [&] { return probe(site->vms().front(), "/x/", kOldKey).mStatus == 503; },
    kServeTimeout));
  site->store().setLongPollsSilent(true);
  const Millis confirmedAt = site.publish({ "/added/" }, { kOldKey });
  const std::vector<Probe> probes =
    site.probeAll("/added/", kOldKey, kProbeTime);
  checkNotRefusedForGood(probes, confirmedAt);
  checkServedInTime(probes, confirmedAt);
}

// What is known is said at once.
BOOST_AUTO_TEST_CASE(what_no_configuration_allows_is_refused_for_good)
{
  Site site("refusal_known");
  BOOST_REQUIRE(waitFor(
    [&] {
      return std::ranges::all_of(site->vms(), [](const Vm& aVm) {
        return probe(aVm, "/unknown/", kOldKey).mStatus == 404;
      });
    },
    kServeTimeout));
  const Millis start = monotonicNow();
  for (const Probe& probe : site.probeAll("/unknown/", kOldKey, kProbeTime)) {
    BOOST_TEST(probe.mStatus == 404, probe.describe(start));
    BOOST_TEST((probe.mTook < kAtOnce), probe.describe(start));
  }
  for (const Probe& probe : site.probeAll("/catalog/", "no-key", 2_s)) {
    BOOST_TEST(probe.mStatus == 401, probe.describe(start));
  }
  site.publish({ "/added/" }, { kOldKey, kNewKey });
  BOOST_REQUIRE(site.waitUntilServed("/added/", kNewKey));
  const Millis droppedAt = site.publish({}, { kOldKey });
  for (int n = 0; n < 2; ++n) {
    const bool isRoute = n == 0;
    const std::vector<Probe> probes =
      isRoute ? site.probeAll("/added/", kOldKey, 4_s)
              : site.probeAll("/catalog/", kNewKey, 2_s);
    for (const Probe& probe : probes) {
      const bool isLate = probe.mSentAt > droppedAt + PlatformSite::kConfigTime;
      BOOST_TEST((!isLate || probe.mStatus == (isRoute ? 404 : 401)),
                 probe.describe(droppedAt));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}

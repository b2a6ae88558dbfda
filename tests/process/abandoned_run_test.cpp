#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <thread>
#include <vector>

/// A request at which an upstream is at work gets the upstream's answer,
/// whatever the daemons believe meanwhile of each other and of themselves.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Service = PlatformSite::Service;
using Vm = PlatformSite::Vm;

constexpr Millis kServeTimeout = 20_s;
constexpr Millis kDeadline = 2500_ms;
constexpr int kKeys = 65536;
constexpr int kKeyStep = 1021;
/// Of the upstreams, by turns.
constexpr std::array<Millis, 3> kWork = { 360_ms, 150_ms, 900_ms };
/// The service whose upstreams work, and the one whose daemons take requests.
constexpr const char* kRoutes = "routes";
constexpr const char* kCafes = "cafes";

void
sleepFor(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime.mCount));
}

/// Deadline of a request with so much work.
Millis
deadlineOf(Millis aWork)
{
  return std::max(kDeadline, aWork * 2 + 1_s);
}

Millis
workOf(const std::string& aTarget)
{
  const std::size_t at = aTarget.rfind("/w");
  return at == std::string::npos ? 15_ms
                                 : Millis{ std::atoll(&aTarget[at + 2]) };
}

struct Sent
{
  std::string mId;
  Millis mWork;
  Millis mDeadline;
  Millis mAt;
  Millis mTook;
  /// 0 if there was no whole answer.
  int mStatus = 0;
  bool mIsOfUpstream = false;

  std::string describe(Millis aStart) const
  {
    return mId + ", work " + std::to_string(mWork.mCount) + ", sent at " +
           std::to_string((mAt - aStart).mCount) + ", answered " +
           std::to_string(mStatus) + " after " + std::to_string(mTook.mCount);
  }
};

/// Sends one request and waits for its answer; mStatus stays 0 if the daemon
/// takes no connection.
Sent
exchange(std::uint32_t aIp,
         const std::string& aId,
         int aKey,
         bool aIsOnce,
         Millis aWork)
{
  Sent sent;
  sent.mId = aId;
  sent.mWork = aWork;
  sent.mDeadline = deadlineOf(aWork);
  sent.mAt = monotonicNow();
  try {
    RawClient client(PlatformSite::kCallers, aIp);
    client.send("GET /" + std::string(kRoutes) + (aIsOnce ? "/once" : "") +
                "/w" + std::to_string(aWork.mCount) +
                " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
                "\r\nX-Shard-Key: " + std::to_string(aKey) +
                "\r\nX-Deadline-Ms: " + std::to_string(sent.mDeadline.mCount) +
                "\r\n\r\n");
    if (const std::optional<RawResponse> answer = client.receive()) {
      sent.mStatus = answer->mStatus;
      sent.mIsOfUpstream = !answer->field("X-Upstream-Signature").empty();
    }
  } catch (const std::runtime_error&) {
    // The daemon is restarting.
  }
  sent.mTook = monotonicNow() - sent.mAt;
  return sent;
}

/// Sends one request after the other to a daemon.
class Caller
{
public:
  Caller(const Vm& aVm,
         int aNumber,
         std::span<const Millis> aWork,
         std::span<const int> aKeys)
    : mIp(aVm.mIp)
    , mName(aVm.mName + "." + std::to_string(aNumber))
    , mNumber(static_cast<std::size_t>(aNumber))
    , mWork(aWork.begin(), aWork.end())
    , mKeys(aKeys.begin(), aKeys.end())
    , mThread([this] { run(); })
  {
  }

  void stop() { mIsStopped = true; }

  /// To be called after stop(): waits for the last answer.
  std::vector<Sent> join()
  {
    mThread.join();
    return std::move(mSent);
  }

private:
  void run()
  {
    for (std::size_t n = mNumber; !mIsStopped; ++n) {
      mSent.push_back(exchange(mIp,
                               mName + "." + std::to_string(n),
                               mKeys[n % mKeys.size()],
                               n % 2 == 1,
                               mWork[n % mWork.size()]));
      if (mSent.back().mStatus == 0) {
        sleepFor(20_ms);
      }
    }
  }

  const std::uint32_t mIp;
  const std::string mName;
  const std::size_t mNumber;
  const std::vector<Millis> mWork;
  const std::vector<int> mKeys;
  std::vector<Sent> mSent;
  std::atomic<bool> mIsStopped{ false };
  std::thread mThread;
};

struct Layout
{
  bool mIsKeyed = true;
  bool mGrantsByReport = false;
  int mWorkers = 3;
  int mTakers = 1;
  int mCallersPerTaker = 6;
};

/// Upstreams of one service work on requests that daemons beside upstreams of
/// another service take from callers.
class Site
{
public:
  Site(const std::string& aName, const Layout& aLayout)
    : mSite(aName, services(aLayout))
    , mCallersPerTaker(aLayout.mCallersPerTaker)
  {
    BOOST_REQUIRE(mSite.start());
    BOOST_REQUIRE(waitFor([this] { return servesAll(); }, kServeTimeout));
    mStart = monotonicNow();
  }

  PlatformSite& site() { return mSite; }
  Millis start() const { return mStart; }

  std::vector<Vm*> vmsOf(const std::string& aService)
  {
    std::vector<Vm*> vms;
    for (Vm& vm : mSite.vms()) {
      if (vm.mService == aService) {
        vms.push_back(&vm);
      }
    }
    return vms;
  }

  /// Keys of requests that the upstream of a VM has run; of all if empty.
  std::vector<int> keysOf(const std::string& aVm = {}) const
  {
    std::vector<int> keys;
    for (const PlatformRun& run : mSite.runs()) {
      if (aVm.empty() || run.mVm == aVm) {
        keys.push_back(std::atoi(&run.mRequestId[1]));
      }
    }
    return keys;
  }

  /// Sends requests with the given keys through all daemons of the taking
  /// service while aStep is called, with the time since the start, until aTime
  /// has passed.
  void run(Millis aTime,
           std::span<const Millis> aWork,
           std::span<const int> aKeys,
           const std::function<void(Millis)>& aStep)
  {
    std::vector<std::unique_ptr<Caller>> callers;
    for (const Vm* vm : vmsOf(kCafes)) {
      for (int n = 0; n < mCallersPerTaker; ++n) {
        callers.push_back(std::make_unique<Caller>(*vm, n, aWork, aKeys));
      }
    }
    while (monotonicNow() < mStart + aTime) {
      aStep(monotonicNow() - mStart);
      sleepFor(10_ms);
    }
    for (const std::unique_ptr<Caller>& caller : callers) {
      caller->stop();
    }
    for (const std::unique_ptr<Caller>& caller : callers) {
      std::ranges::move(caller->join(), std::back_inserter(mSent));
    }
  }

  /// aLeastRun: so many requests must have been run at least.
  void check(std::size_t aLeastRun)
  {
    std::multimap<std::string, PlatformRun> runs;
    for (const PlatformRun& run : mSite.runs()) {
      runs.emplace(run.mRequestId, run);
    }
    std::size_t served = 0;
    std::size_t atWork = 0;
    std::size_t givenUp = 0;
    for (const Sent& sent : mSent) {
      served += sent.mStatus == 200 ? 1 : 0;
      const auto [first, last] = runs.equal_range(sent.mId);
      if (first == last) {
        continue;
      }
      ++atWork;
      const bool isGivenUp = !sent.mIsOfUpstream && sent.mTook < sent.mDeadline;
      givenUp += isGivenUp ? 1 : 0;
      BOOST_TEST(!isGivenUp,
                 "given up at work on " << first->second.mVm << " from "
                                        << (first->second.mAt - mStart).mCount
                                        << ": " << sent.describe(mStart));
      const bool isOnce = !isRepeatable(sent);
      BOOST_TEST((!isOnce || std::distance(first, last) == 1),
                 "run twice: " << sent.describe(mStart));
    }
    BOOST_TEST_MESSAGE(mSent.size()
                       << " requests, served " << served << ", run " << atWork
                       << ", given up " << givenUp);
    BOOST_TEST(atWork >= aLeastRun);
  }

private:
  static bool isRepeatable(const Sent& aSent)
  {
    const std::size_t at = aSent.mId.rfind('.');
    return std::atoll(&aSent.mId[at + 1]) % 2 == 0;
  }

  static std::vector<Service> services(const Layout& aLayout)
  {
    Service routes;
    routes.mName = kRoutes;
    routes.mKeyed = aLayout.mIsKeyed;
    routes.mGrantsByReport = aLayout.mGrantsByReport;
    routes.mVms = aLayout.mWorkers;
    routes.mSlots = 60;
    routes.mRunTime = workOf;
    routes.mTimeout = 20_s;
    routes.mEndsWorkWithHold = true;
    Service cafes;
    cafes.mName = kCafes;
    cafes.mVms = aLayout.mTakers;
    return { routes, cafes };
  }

  bool servesAll()
  {
    for (const Vm* vm : vmsOf(kCafes)) {
      for (int key = 0; key < kKeys; key += kKeyStep) {
        RawClient client(PlatformSite::kCallers, vm->mIp);
        client.send(std::string("GET /routes/x HTTP/1.1\r\n") +
                    "Host: shop.example\r\n"
                    "X-Request-Id: x" +
                    std::to_string(key) +
                    "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " +
                    std::to_string(key) + "\r\n\r\n");
        const std::optional<RawResponse> answer = client.receive();
        if (!answer || answer->mStatus != 200) {
          return false;
        }
      }
    }
    return true;
  }

  PlatformSite mSite;
  const int mCallersPerTaker;
  Millis mStart;
  std::vector<Sent> mSent;
};

/// Stops daemons in turn, one at each interval, whether or not earlier stops
/// have ended, and starts each again as soon as it has.
class RollingStops
{
public:
  RollingStops(PlatformSite& aSite, std::vector<Vm*> aVms, Millis aInterval)
    : mSite(aSite)
    , mVms(std::move(aVms))
    , mInterval(aInterval)
  {
  }

  void step(Millis aTime)
  {
    for (Vm* vm : mVms) {
      if (!vm->mDaemon->isRunning()) {
        mSite.startDaemon(*vm);
      }
    }
    if (aTime < mInterval * (mStops + 1)) {
      return;
    }
    mVms[static_cast<std::size_t>(mStops) % mVms.size()]->mDaemon->signal(
      SIGTERM);
    ++mStops;
  }

private:
  PlatformSite& mSite;
  const std::vector<Vm*> mVms;
  const Millis mInterval;
  std::int64_t mStops = 0;
};

/// All daemons but that of the first worker stop and start, each 150 ms one.
void
stopNeighbours(const std::string& aName, const Layout& aLayout)
{
  Site site(aName, aLayout);
  std::vector<Vm*> stopping = site.vmsOf(kCafes);
  std::vector<Vm*> workers = site.vmsOf(kRoutes);
  std::copy(workers.begin() + 1, workers.end(), std::back_inserter(stopping));
  RollingStops stops(site.site(), stopping, 150_ms);
  site.run(
    12_s, kWork, site.keysOf(), [&](Millis aTime) { stops.step(aTime); });
  constexpr std::size_t kLeastRun = 50;
  site.check(kLeastRun);
}

/// The witnesses of one daemon do not answer for longer than its lease.
void
loseLease(const std::string& aName, bool aGrantsByReport)
{
  constexpr Millis kFrozenFrom = 1_s;
  constexpr Millis kFrozenUntil = 3500_ms;
  constexpr std::array<Millis, 1> kLongWork = { 1500_ms };
  constexpr std::size_t kLeastRun = 10;
  Layout layout;
  layout.mGrantsByReport = aGrantsByReport;
  Site site(aName, layout);
  const std::vector<Vm*> workers = site.vmsOf(kRoutes);
  const std::vector<int> keys = site.keysOf(workers.front()->mName);
  bool isFrozen = false;
  site.run(5_s, kLongWork, keys, [&](Millis aTime) {
    const bool freezes = aTime >= kFrozenFrom && aTime < kFrozenUntil;
    if (freezes != isFrozen) {
      isFrozen = freezes;
      for (std::size_t n = 1; n < workers.size(); ++n) {
        workers[n]->mDaemon->signal(freezes ? SIGSTOP : SIGCONT);
      }
    }
  });
  site.check(kLeastRun);
}

/// A daemon that takes requests is expelled while it is frozen, and rejoins
/// when it has noticed. aStops: it is asked to stop just then.
void
removeFromCell(const std::string& aName, bool aStops)
{
  // Longer than a lease.
  constexpr Millis kFrozen = 4_s;
  // It may read the state of its cell as late as 15 s after it wakes.
  constexpr Millis kTrafficTime = 25_s;
  // Different times, so that some work is always far from its end.
  constexpr std::array<Millis, 4> kLongWork = {
    4_s, 3300_ms, 3700_ms, 2900_ms
  };
  constexpr std::size_t kLeastRun = 20;
  Layout layout;
  layout.mIsKeyed = false;
  // Members that expel the frozen one.
  layout.mTakers = 4;
  layout.mCallersPerTaker = 20;
  Site site(aName, layout);
  Vm& vm = *site.vmsOf(kCafes).front();
  vm.mDaemon->signal(SIGSTOP);
  bool isFrozen = true;
  bool isRemoved = false;
  std::optional<int> exit;
  site.run(kTrafficTime, kLongWork, site.keysOf(), [&](Millis aTime) {
    if (isFrozen && aTime >= kFrozen) {
      isFrozen = false;
      vm.mDaemon->signal(SIGCONT);
    }
    if (isFrozen || isRemoved || site.site().isReady(vm)) {
      return;
    }
    isRemoved = true;
    if (aStops) {
      vm.mDaemon->signal(SIGTERM);
      exit = vm.mDaemon->waitForExit(PlatformSite::kGraceTime);
    }
  });
  BOOST_TEST(isRemoved);
  BOOST_TEST((!aStops || exit == 0), "the daemon would have been killed");
  site.check(kLeastRun);
}

}

BOOST_AUTO_TEST_SUITE(abandoned_runs)

// LOST: a daemon whose lease lapsed gave up what its upstream was at work on.
BOOST_AUTO_TEST_CASE(lapsed_lease_abandons_no_run)
{
  loseLease("abandoned_lease", false);
}

BOOST_AUTO_TEST_CASE(lapsed_lease_abandons_no_run_with_grants_by_report)
{
  loseLease("abandoned_lease_report", true);
}

BOOST_AUTO_TEST_CASE(neighbours_that_stop_abandon_no_run)
{
  Layout layout;
  layout.mWorkers = 5;
  layout.mTakers = 2;
  stopNeighbours("abandoned_neighbours", layout);
}

BOOST_AUTO_TEST_CASE(neighbours_that_stop_abandon_no_run_with_grants_by_report)
{
  Layout layout;
  layout.mGrantsByReport = true;
  layout.mWorkers = 5;
  layout.mTakers = 2;
  stopNeighbours("abandoned_neighbours_report", layout);
}

BOOST_AUTO_TEST_CASE(neighbours_that_stop_abandon_no_unkeyed_run)
{
  Layout layout;
  layout.mIsKeyed = false;
  layout.mWorkers = 5;
  layout.mTakers = 2;
  stopNeighbours("abandoned_neighbours_unkeyed", layout);
}

// LOST: a daemon that was removed from its cell gave up what it had taken.
BOOST_AUTO_TEST_CASE(rejoining_daemon_answers_what_it_has_taken)
{
  removeFromCell("abandoned_rejoin", false);
}

BOOST_AUTO_TEST_CASE(daemon_that_is_stopped_as_it_rejoins_answers_and_ends)
{
  removeFromCell("abandoned_rejoin_stop", true);
}

BOOST_AUTO_TEST_SUITE_END()

}

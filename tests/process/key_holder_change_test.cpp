#include "radishroad/state/cell_state.h"
#include "radishroad/state/snapshot_codec.h"
#include "support/platform_site.h"
#include "support/wait.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

/// Keys never have two holders while their holder changes, for each way in
/// which it does; judged by what the upstreams were told.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Vm = PlatformSite::Vm;
using Fault = FakeStore::Fault;

constexpr const char* kService = "orders";
constexpr int kVms = 5;
constexpr Millis kHoldTimeout = 15_s;
/// Longer than a hold and than an order that is carried out late.
constexpr Millis kWatchTime = 4_s;
constexpr Millis kLateBy = 2_s;

void
sleepFor(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime.mCount));
}

std::vector<PlatformSite::Service>
keyedService()
{
  PlatformSite::Service service;
  service.mName = kService;
  service.mKeyed = true;
  service.mVms = kVms;
  return { service };
}

/// A site whose keys are all held, each by one of kVms upstreams.
class HeldSite
{
public:
  explicit HeldSite(const std::string& aName)
    : mStart(monotonicNow())
    , mSite(aName, keyedService())
  {
    BOOST_REQUIRE(mSite.start());
    BOOST_REQUIRE(waitFor([this] { return areHeldBut({}); }, kHoldTimeout));
    BOOST_TEST_MESSAGE("held first after " << (monotonicNow() - mStart).mCount
                                           << " ms");
  }
  FakeStore& store() { return mSite.store(); }
  std::vector<Vm>& vms() { return mSite.vms(); }
  Vm& vm(int aIndex) { return mSite.vms().at(aIndex); }
  bool isHolding(const Vm& aVm) const
  {
    return mSite.holds(kService).heldRuns(aVm.mName) > 0;
  }
  void restart(Vm& aVm)
  {
    aVm.mDaemon->kill();
    mSite.startDaemon(aVm);
  }
  /// Sets what becomes of each order whose path is this.
  void setFates(const std::string& aPath,
                const std::function<OrderFate()>& aFate)
  {
    for (Vm& vm : mSite.vms()) {
      vm.mUpstream->setOrderFate([=](const std::string& aOrder) {
        return aOrder == aPath ? aFate() : OrderFate{};
      });
    }
  }
  /// Checks that all keys are held again, by others than some VMs, and that
  /// they never had two holders.
  void check(const std::set<std::string>& aGone)
  {
    const Millis changedAt = monotonicNow();
    BOOST_TEST(waitFor([&] { return areHeldBut(aGone); }, kHoldTimeout));
    BOOST_TEST_MESSAGE("held again after "
                       << (monotonicNow() - changedAt).mCount << " ms");
    sleepFor(kWatchTime);
    BOOST_TEST(waitFor([&] { return areHeldBut(aGone); }, kHoldTimeout));
    const HoldJournal& holds = mSite.holds(kService);
    BOOST_TEST(regrantedRuns(holds) > 0U);
    holds.check(mStart);
  }

private:
  /// Runs of keys that had more than one hold.
  static std::size_t regrantedRuns(const HoldJournal& aHolds)
  {
    std::size_t runs = 0;
    for (std::uint32_t run = 0; run < HoldJournal::kRuns; ++run) {
      runs += aHolds.holds(run * HoldJournal::kRunKeys).size() > 1 ? 1 : 0;
    }
    return runs;
  }
  bool areHeldBut(const std::set<std::string>& aGone)
  {
    const HoldJournal& holds = mSite.holds(kService);
    std::size_t held = 0;
    for (const Vm& vm : mSite.vms()) {
      held += aGone.contains(vm.mName) ? 0 : holds.heldRuns(vm.mName);
    }
    return held >= HoldJournal::kRuns && holds.heldRuns() == HoldJournal::kRuns;
  }

  const Millis mStart;
  PlatformSite mSite;
};

/// Waits for the record that expels a VM's daemon.
class ExpulsionWatch
{
public:
  ExpulsionWatch(FakeStore& aStore, std::string aVm)
    : mStore(aStore)
    , mVm(std::move(aVm))
  {
    mStore.setAppendFilter(
      [this](const std::string&, const std::string& aValue) {
        onAppend(aValue);
        return FakeStore::AppendFate::Taken;
      });
  }
  ~ExpulsionWatch() { mStore.setAppendFilter(nullptr); }
  ExpulsionWatch(const ExpulsionWatch&) = delete;
  ExpulsionWatch& operator=(const ExpulsionWatch&) = delete;

  /// VMs that own keys by that record; empty before it is written.
  std::set<std::string> owners() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mOwners;
  }

private:
  void onAppend(const std::string& aValue)
  {
    CellState state;
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(aValue.data());
    if (!decodeState({ bytes, aValue.size() }, state)) {
      return;
    }
    const bool isExpelled =
      std::ranges::any_of(state.mMembers, [this](const auto& aEntry) {
        return aEntry.second.mVm == mVm &&
               aEntry.second.mStatus == MemberStatus::Expelled;
      });
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!isExpelled || !mOwners.empty()) {
      return;
    }
    for (const Ownership& shard : state.mShards) {
      const auto it = state.mMembers.find(shard.mOwner);
      if (it != state.mMembers.end() && it->second.mVm != mVm) {
        mOwners.insert(it->second.mVm);
      }
    }
  }

  FakeStore& mStore;
  const std::string mVm;
  mutable std::mutex mMutex;
  std::set<std::string> mOwners;
};

/// A daemon is restarted once its upstream was told to release keys; no release
/// is answered meanwhile.
void
checkRestartInHandoff(const std::string& aName,
                      const std::function<void(FakeStore&)>& aDisturb,
                      const std::function<void(FakeStore&)>& aHeal)
{
  HeldSite site(aName);
  Vm& restarted = site.vm(1);
  const auto isReleasing = std::make_shared<std::atomic<bool>>(false);
  site.setFates("/api/release", [isReleasing] {
    *isReleasing = true;
    return OrderFate{ false, kLateBy };
  });
  restarted.mUpstream->setDraining(true);
  BOOST_REQUIRE(waitFor([&] { return isReleasing->load(); }, kHoldTimeout));
  aDisturb(site.store());
  site.restart(restarted);
  sleepFor(6_s);
  aHeal(site.store());
  site.setFates("/api/release", [] { return OrderFate{}; });
  site.check({ restarted.mName });
}

/// An upstream drains while each third order of a kind gets no answer and is
/// carried out late.
void
checkDrainWithLateOrders(const std::string& aName, const std::string& aPath)
{
  HeldSite site(aName);
  const auto count = std::make_shared<std::atomic<int>>(0);
  site.setFates(aPath, [count] {
    return ++*count % 3 == 0 ? OrderFate{ false, kLateBy } : OrderFate{};
  });
  sleepFor(1_s);
  Vm& drained = site.vm(1);
  drained.mUpstream->setDraining(true);
  sleepFor(5_s);
  site.setFates(aPath, [] { return OrderFate{}; });
  site.check({ drained.mName });
}

}

BOOST_AUTO_TEST_SUITE(key_holder_changes)

// The upstream of a lost daemon holds its keys until its last grant runs out.
BOOST_AUTO_TEST_CASE(keys_of_expelled_daemon_are_granted_during_its_last_hold)
{
  HeldSite site("keys-of-expelled");
  Vm& lost = site.vm(1);
  lost.mDaemon->kill();
  site.check({ lost.mName });
}

// A next owner that starts anew knows of no former owner to wait for.
BOOST_AUTO_TEST_CASE(next_owner_restarted_after_expulsion_skips_its_wait)
{
  HeldSite site("next-owner-restarted");
  Vm& lost = site.vm(1);
  {
    const ExpulsionWatch watch(site.store(), lost.mName);
    lost.mDaemon->kill();
    BOOST_REQUIRE(
      waitFor([&] { return !watch.owners().empty(); }, kHoldTimeout));
    const std::set<std::string> owners = watch.owners();
    BOOST_TEST_MESSAGE(owners.size() << " next owners");
    for (Vm& vm : site.vms()) {
      if (owners.contains(vm.mName)) {
        site.restart(vm);
      }
    }
  }
  site.check({ lost.mName });
}

// A daemon takes the place of the one before it while others expel that one.
BOOST_AUTO_TEST_CASE(keys_of_killed_daemon_that_is_back_are_granted_twice)
{
  HeldSite site("killed-and-back");
  site.restart(site.vm(1));
  sleepFor(kWatchTime);
  site.check({});
}

// Hand-offs of daemons that stop fail while the store takes no record.
BOOST_AUTO_TEST_CASE(stopping_daemons_hand_off_keys_that_they_still_hold)
{
  HeldSite site("stop-without-appends");
  Vm& first = site.vm(1);
  Vm& second = site.vm(2);
  first.mDaemon->signal(SIGTERM);
  sleepFor(500_ms);
  site.store().setFault(Fault::RejectsAppends);
  sleepFor(500_ms);
  second.mDaemon->signal(SIGTERM);
  sleepFor(2500_ms);
  site.store().setFault(Fault::None);
  // The platform kills a daemon that takes longer.
  sleepFor(PlatformSite::kGraceTime - 3500_ms);
  first.mDaemon->kill();
  sleepFor(1_s);
  second.mDaemon->kill();
  site.check({ first.mName, second.mName });
}

// Keys count as released although their release was not carried out.
BOOST_AUTO_TEST_CASE(keys_whose_release_is_late_are_handed_off)
{
  checkDrainWithLateOrders("late-releases", "/api/release");
}

// A grant without an answer takes effect after the release that followed it.
BOOST_AUTO_TEST_CASE(keys_whose_grant_is_late_are_handed_off)
{
  checkDrainWithLateOrders("late-grants", "/api/grant");
}

// A daemon starts in the hand-off of the one before it.
BOOST_AUTO_TEST_CASE(keys_of_daemon_restarted_in_handoff_are_granted_twice)
{
  checkRestartInHandoff(
    "restarted-in-handoff",
    [](FakeStore& aStore) { aStore.setFault(Fault::Slow); },
    [](FakeStore& aStore) { aStore.setFault(Fault::None); });
}

// As before, and it reads the state before the configuration, by which alone it
// knows that its upstream holds keys.
BOOST_AUTO_TEST_CASE(restarted_daemon_frees_keys_before_its_configuration)
{
  checkRestartInHandoff(
    "restarted-without-configuration",
    [](FakeStore& aStore) { aStore.setSlowTopic("keyed.op"); },
    [](FakeStore& aStore) { aStore.setSlowTopic({}); });
}

// A daemon that was frozen goes on with the grants that it was about to send.
BOOST_AUTO_TEST_CASE(thawed_daemon_grants_keys_that_others_own)
{
  HeldSite site("thawed");
  Vm& frozen = site.vm(1);
  frozen.mDaemon->signal(SIGSTOP);
  sleepFor(3_s);
  frozen.mDaemon->signal(SIGCONT);
  sleepFor(kWatchTime);
  // It may read only after 15 s that it was expelled.
  BOOST_TEST(waitFor([&] { return site.isHolding(frozen); }, 20_s));
  site.check({});
}

BOOST_AUTO_TEST_SUITE_END()

}

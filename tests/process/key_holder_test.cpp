#include "radishroad/state/cell_state.h"
#include "radishroad/state/snapshot_codec.h"
#include "support/platform_site.h"
#include "support/wait.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

/// Keys never have two holders, judged by what the upstreams were told and not
/// by what the daemons believe.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Vm = PlatformSite::Vm;
using AppendFate = FakeStore::AppendFate;

constexpr const char* kService = "orders";
constexpr Millis kHoldTimeout = 20_s;

std::vector<PlatformSite::Service>
keyedService(int aVms)
{
  PlatformSite::Service service;
  service.mName = kService;
  service.mKeyed = true;
  service.mVms = aVms;
  return { service };
}

std::optional<CellState>
decodeAppended(const std::string& aValue)
{
  CellState state;
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aValue.data());
  const Result<void> decoded = decodeState({ bytes, aValue.size() }, state);
  return decoded ? std::optional<CellState>(std::move(state)) : std::nullopt;
}

/// Shards that go from one active member to another, by the former owner.
std::map<Incarnation, std::set<Shard>>
handedOff(const CellState& aBefore, const CellState& aAfter)
{
  std::map<Incarnation, std::set<Shard>> moves;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    const Incarnation from = aBefore.mShards[shard].mOwner;
    const Incarnation to = aAfter.mShards[shard].mOwner;
    const auto it = aAfter.mMembers.find(from);
    const bool isActive =
      it != aAfter.mMembers.end() && it->second.mStatus == MemberStatus::Active;
    if (from != 0 && to != 0 && from != to && isActive) {
      moves[from].insert(shard);
    }
  }
  return moves;
}

/// Follows the states that are written to a store.
class StateAppends
{
public:
  explicit StateAppends(FakeStore& aStore)
    : mStore(aStore)
  {
    mStore.setAppendFilter(
      [this](const std::string&, const std::string& aValue) {
        return onAppend(aValue);
      });
  }
  ~StateAppends() { mStore.setAppendFilter(nullptr); }
  StateAppends(const StateAppends&) = delete;
  StateAppends& operator=(const StateAppends&) = delete;

  /// The next write that hands shards off is not answered and kept, and all
  /// later ones are rejected.
  void keepNextHandoff()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsKeeping = true;
  }
  /// Accepts writes again.
  void accept()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsKeeping = false;
    mIsRejecting = false;
  }
  /// Shards of the write that was kept, by their owners' VMs.
  std::map<std::string, std::set<Shard>> kept() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mKept;
  }
  /// VM of the coordinator by the last write that was taken.
  std::string coordinator() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mLast.mMembers.at(coordinatorOf(mLast)).mVm;
  }

private:
  AppendFate onAppend(const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsRejecting) {
      return AppendFate::Rejected;
    }
    std::optional<CellState> state = decodeAppended(aValue);
    if (!state) {
      return AppendFate::Taken;
    }
    auto moves = handedOff(mLast, *state);
    // A coordinator that gets no answer to its own record knows that it is in
    // doubt.
    moves.erase(coordinatorOf(mLast));
    if (mIsKeeping && !moves.empty()) {
      mIsRejecting = true;
      for (const auto& [owner, shards] : moves) {
        mKept[state->mMembers.at(owner).mVm] = shards;
      }
      return AppendFate::Kept;
    }
    mLast = std::move(*state);
    return AppendFate::Taken;
  }

  FakeStore& mStore;
  mutable std::mutex mMutex;
  CellState mLast;
  bool mIsKeeping = false;
  bool mIsRejecting = false;
  std::map<std::string, std::set<Shard>> mKept;
};

bool
holdsAll(const HoldJournal& aHolds, const std::set<std::string>& aVms)
{
  std::size_t held = 0;
  for (const std::string& vm : aVms) {
    held += aHolds.heldRuns(vm);
  }
  return held >= HoldJournal::kRuns;
}

/// Whether the VM's upstream was told to hold a shard again after aSince.
bool
isHeldAgain(const HoldJournal& aHolds,
            const std::string& aVm,
            Shard aShard,
            Millis aSince)
{
  return std::ranges::any_of(aHolds.holds(aShard * HoldJournal::kRunKeys),
                             [&](const HoldJournal::Hold& aHold) {
                               return aHold.mVm == aVm && aHold.mFrom > aSince;
                             });
}

}

BOOST_AUTO_TEST_SUITE(key_holders)

// The store carries out a write seconds after it gave no answer; meanwhile the
// daemon that hands off has been told by all writers that they did not write.
BOOST_AUTO_TEST_CASE(handoff_called_failed_is_not_carried_out_later)
{
  PlatformSite site("handoff-called-failed", keyedService(4));
  const Millis start = monotonicNow();
  StateAppends appends(site.store());
  BOOST_REQUIRE(site.start());
  const HoldJournal& holds = site.holds(kService);
  std::set<std::string> others;
  for (const Vm& vm : site.vms()) {
    others.insert(vm.mName);
  }
  BOOST_REQUIRE(waitFor([&] { return holdsAll(holds, others); }, kHoldTimeout));
  // A member without keys gets some from each of the others.
  Vm& joining = site.vms().back();
  others.erase(joining.mName);
  joining.mDaemon->kill();
  BOOST_REQUIRE(waitFor([&] { return holdsAll(holds, others); }, kHoldTimeout));
  appends.keepNextHandoff();
  site.startDaemon(joining);
  BOOST_REQUIRE(waitFor([&] { return !appends.kept().empty(); }, kHoldTimeout));
  const Millis keptAt = monotonicNow();
  // Nobody orders the moves anew.
  const auto coordinator = std::ranges::find(
    site.vms(), appends.coordinator(), &PlatformSite::Vm::mName);
  coordinator->mDaemon->kill();
  const auto isHandoffGivenUp = [&] {
    const auto kept = appends.kept();
    return std::ranges::any_of(kept, [&](const auto& aEntry) {
      return isHeldAgain(holds, aEntry.first, *aEntry.second.begin(), keptAt);
    });
  };
  // By now each daemon has given up what it may give up.
  const bool isGivenUp = waitFor(isHandoffGivenUp, 8_s);
  BOOST_TEST_MESSAGE("held again by an owner before: " << isGivenUp);
  appends.accept();
  BOOST_TEST(site.store().carryOutKept() == 1);
  BOOST_TEST(waitFor([&] { return holds.heldRuns() == HoldJournal::kRuns; },
                     kHoldTimeout));
  holds.check(start);
}

BOOST_AUTO_TEST_SUITE_END()

}

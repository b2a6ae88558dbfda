#include "radishroad/daemon/fleet_view.h"
#include "radishroad/daemon/serve_authority.h"
#include "unit/cell_log.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Millis kDeadline{ 3000 };
constexpr Shard kShard = 9;
constexpr std::uint64_t kKey = kShard + kShardCount;
constexpr std::uint64_t kOther = kShard + 2 * kShardCount;

/// The authority of the member that heirs the shard or the key, which sees
/// what the log says at once.
struct Served
{
  Served()
    : mLog(CellLog::withFourMembers())
  {
    mLog.assign(kShard, 0, 1);
    mSeen = mLog.mState;
  }

  void readBack(Millis aNow)
  {
    mGuard.onStateChange(mSeen, mLog.mState, aNow, kDeadline);
    mSeen = mLog.mState;
  }

  ServeDecision decide(std::uint64_t aKey, Millis aNow)
  {
    auto view = std::make_shared<FleetView>();
    view->mCells["library"] = std::make_shared<const CellState>(mLog.mState);
    mViews.set(view);
    ServeAuthority authority(
      mViews, "library", ownerOf(mLog.mState, aKey).mOwner);
    authority.setLeaseUntil(aNow + 1_s);
    authority.setWaits(mGuard);
    ForwardRequest request;
    request.key_hash = aKey;
    request.shard = shardOf(aKey);
    return authority.decide(request, aNow);
  }

  CellLog mLog;
  CellState mSeen;
  TakeoverGuard mGuard;
  ViewHolder mViews;
};

}

BOOST_AUTO_TEST_SUITE(serve_authority)

BOOST_AUTO_TEST_CASE(split_key_of_a_lost_owner_waits_and_its_shard_does_not)
{
  Served served;
  served.mLog.split(1, kKey, 1, 2);
  served.readBack(50_ms);
  BOOST_TEST((served.decide(kKey, 60_ms).mRefusal == NotRunReason::None));
  served.mLog.expel(2, 0, { 3, 4 });
  served.readBack(100_ms);
  const ServeDecision early = served.decide(kKey, 200_ms);
  BOOST_TEST((early.mRefusal == NotRunReason::LeaseLapsed));
  BOOST_TEST((early.mRetryAt == 100_ms + kDeadline));
  BOOST_TEST((served.decide(kOther, 200_ms).mRefusal == NotRunReason::None));
  const ServeDecision late = served.decide(kKey, 100_ms + kDeadline);
  BOOST_TEST((late.mRefusal == NotRunReason::None));
}

BOOST_AUTO_TEST_CASE(shard_of_a_lost_owner_waits_and_its_split_key_does_not)
{
  Served served;
  served.mLog.split(1, kKey, 1, 2);
  served.readBack(50_ms);
  served.mLog.expel(1, 0, { 3, 4 });
  served.readBack(100_ms);
  BOOST_TEST((served.decide(kKey, 200_ms).mRefusal == NotRunReason::None));
  BOOST_TEST(
    (served.decide(kOther, 200_ms).mRefusal == NotRunReason::LeaseLapsed));
}

BOOST_AUTO_TEST_CASE(merged_key_keeps_the_wait_after_its_lost_owner)
{
  Served served;
  served.mLog.split(1, kKey, 1, 2);
  served.mLog.expel(2, 0, { 3, 4 });
  served.readBack(100_ms);
  const Ownership heir = ownerOf(served.mLog.mState, kKey);
  BOOST_CHECK(served.mLog.split(heir.mOwner, kKey, heir.mEpoch, 0) ==
              FoldVerdict::Applied);
  served.readBack(150_ms);
  BOOST_TEST(!served.mLog.mState.mSplitKeys.contains(kKey));
  BOOST_TEST(
    (served.decide(kKey, 200_ms).mRefusal == NotRunReason::LeaseLapsed));
  BOOST_TEST((served.decide(kOther, 200_ms).mRefusal == NotRunReason::None));
}

// A machine is cut off while its upstream crashes and starts again, so that the
// change that raises the epochs is not recorded: what was granted to the start
// before must not be granted to this one at the same epoch.
BOOST_AUTO_TEST_CASE(a_new_start_of_the_upstream_holds_nothing_at_old_epochs)
{
  Served served;
  served.mLog.mState.mMembers.at(1).mUpstreamLife = 7;
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->mCells["library"] =
    std::make_shared<const CellState>(served.mLog.mState);
  served.mViews.set(view);
  ServeAuthority authority(served.mViews, "library", 1);
  authority.setLeaseUntil(1_s);
  BOOST_TEST(authority.holdings(7, 100_ms).value().mShards.size() == 1U);
  BOOST_TEST(!authority.holdings(8, 100_ms));
  BOOST_TEST(!authority.holdings(0, 100_ms));
  BOOST_TEST(!authority.holdings(7, 1_s));
}

BOOST_AUTO_TEST_SUITE_END()

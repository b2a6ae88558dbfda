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
constexpr std::uint64_t kOtherKey = kShard + 2 * kShardCount;

/// ServeAuthority of the member that owns the shard or key. Its view always
/// shows the newest state of the log.
struct AuthorityFixture
{
  AuthorityFixture()
    : mLog(CellLog::withFourMembers())
  {
    mLog.assign(kShard, 0, 1);
    mPreviousState = mLog.mState;
  }

  void applyState(Millis aNow)
  {
    mGuard.onStateChange(mPreviousState, mLog.mState, aNow, kDeadline);
    mPreviousState = mLog.mState;
  }

  ServeDecision decide(std::uint64_t aKey, Millis aNow)
  {
    auto view = std::make_shared<FleetView>();
    view->mCells["library"] = std::make_shared<const CellState>(mLog.mState);
    mViews.set(view);
    ServeAuthority authority(
      mViews, "library", "z", ownerOf(mLog.mState, aKey).mOwner);
    authority.setLeaseUntil(aNow + 1_s);
    authority.setTakeoverGuard(mGuard);
    ForwardRequest request;
    request.key_hash = aKey;
    request.shard = shardOf(aKey);
    return authority.decide(request, aNow);
  }

  CellLog mLog;
  CellState mPreviousState;
  TakeoverGuard mGuard;
  FleetViewStore mViews;
};

}

BOOST_AUTO_TEST_SUITE(serve_authority)

BOOST_AUTO_TEST_CASE(split_key_of_a_lost_owner_waits_and_its_shard_does_not)
{
  AuthorityFixture fixture;
  fixture.mLog.split(1, kKey, 1, 2);
  fixture.applyState(50_ms);
  BOOST_TEST((fixture.decide(kKey, 60_ms).mRefusal == NotRunReason::None));
  fixture.mLog.expel(2, 0, { 3, 4 });
  fixture.applyState(100_ms);
  const ServeDecision early = fixture.decide(kKey, 200_ms);
  BOOST_TEST((early.mRefusal == NotRunReason::LeaseLapsed));
  BOOST_TEST((early.mRetryAt == 100_ms + kDeadline));
  BOOST_TEST(
    (fixture.decide(kOtherKey, 200_ms).mRefusal == NotRunReason::None));
  const ServeDecision late = fixture.decide(kKey, 100_ms + kDeadline);
  BOOST_TEST((late.mRefusal == NotRunReason::None));
}

BOOST_AUTO_TEST_CASE(shard_of_a_lost_owner_waits_and_its_split_key_does_not)
{
  AuthorityFixture fixture;
  fixture.mLog.split(1, kKey, 1, 2);
  fixture.applyState(50_ms);
  fixture.mLog.expel(1, 0, { 3, 4 });
  fixture.applyState(100_ms);
  BOOST_TEST((fixture.decide(kKey, 200_ms).mRefusal == NotRunReason::None));
  BOOST_TEST(
    (fixture.decide(kOtherKey, 200_ms).mRefusal == NotRunReason::LeaseLapsed));
}

BOOST_AUTO_TEST_CASE(merged_key_keeps_the_wait_after_its_lost_owner)
{
  AuthorityFixture fixture;
  fixture.mLog.split(1, kKey, 1, 2);
  fixture.mLog.expel(2, 0, { 3, 4 });
  fixture.applyState(100_ms);
  const Ownership newOwner = ownerOf(fixture.mLog.mState, kKey);
  BOOST_CHECK(fixture.mLog.split(newOwner.mOwner, kKey, newOwner.mEpoch, 0) ==
              FoldVerdict::Applied);
  fixture.applyState(150_ms);
  BOOST_TEST(!fixture.mLog.mState.mSplitKeys.contains(kKey));
  BOOST_TEST(
    (fixture.decide(kKey, 200_ms).mRefusal == NotRunReason::LeaseLapsed));
  BOOST_TEST(
    (fixture.decide(kOtherKey, 200_ms).mRefusal == NotRunReason::None));
}

// A VM is cut off from the log while its upstream crashes and restarts, so that
// the change that raises the epochs is not recorded. Shards granted to the
// earlier start must not be granted to the new one at the same epoch.
BOOST_AUTO_TEST_CASE(restarted_upstream_holds_nothing_at_old_epochs)
{
  AuthorityFixture fixture;
  fixture.mLog.mState.mMembers.at(1).mUpstreamIncarnation = 7;
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->mCells["library"] =
    std::make_shared<const CellState>(fixture.mLog.mState);
  fixture.mViews.set(view);
  ServeAuthority authority(fixture.mViews, "library", "z", 1);
  authority.setLeaseUntil(1_s);
  BOOST_TEST(authority.grantableShards(7, 100_ms).value().mShards.size() == 1U);
  BOOST_TEST(!authority.grantableShards(8, 100_ms));
  BOOST_TEST(!authority.grantableShards(0, 100_ms));
  BOOST_TEST(!authority.grantableShards(7, 1_s));
}

BOOST_AUTO_TEST_CASE(only_keys_are_served_in_a_zone_that_goes_out_of_service)
{
  AuthorityFixture fixture;
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->mCells["library"] =
    std::make_shared<const CellState>(fixture.mLog.mState);
  view->mZonesOut["z"] = { 1_s, 1_s, 3_s };
  fixture.mViews.set(view);
  ServeAuthority authority(fixture.mViews, "library", "z", 1);
  authority.setLeaseUntil(10_s);
  ForwardRequest request;
  request.key_hash = kKey;
  request.shard = kShard;
  BOOST_TEST(
    (authority.decide(request, 2999_ms).mRefusal == NotRunReason::None));
  BOOST_TEST(
    (authority.decide(request, 3_s).mRefusal == NotRunReason::Draining));
  std::shared_ptr<config::Model> model = std::make_shared<config::Model>();
  model->mServices["library"].mKeyed = false;
  view = std::make_shared<FleetView>(*view);
  view->mModel = model;
  fixture.mViews.set(view);
  BOOST_TEST(
    (authority.decide(request, 1_s).mRefusal == NotRunReason::Draining));
  ServeAuthority elsewhere(fixture.mViews, "library", "y", 1);
  BOOST_TEST((elsewhere.decide(request, 1_s).mRefusal == NotRunReason::None));
}

BOOST_AUTO_TEST_SUITE_END()

#include "radishroad/daemon/handoff_manager.h"

#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/settings.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr Incarnation kSelf = 1;
constexpr Incarnation kOther = 2;
constexpr Shard kShard = 7;
constexpr Epoch kEpoch = 5;
constexpr const char* kService = "orders";

DaemonSettings
platformSettings()
{
  DaemonSettings settings;
  settings.mProtocol = "platform";
  settings.mService = kService;
  return settings;
}

/// A daemon that owns one shard, and the records that it proposes.
struct Fixture
{
  Fixture()
    : mFleet(kService, mViews, fleetHooks())
    , mProposer([this](const std::string&,
                       const wire::RecordT& aRecord,
                       std::function<void(Result<std::uint64_t>)> aResult) {
      mIds.push_back({ aRecord.id_high, aRecord.id_low });
      mReleases.push_back(*aRecord.change.AsRelease());
      mResult = std::move(aResult);
      return true;
    })
    , mContext{ kSelf,
                mSettings,
                mFleet,
                mProposer,
                {},
                [this] { return mNow; },
                [] { return std::vector<Incarnation>(); },
                {} }
    , mHandoff(
        mContext,
        { .mPause = [](std::span<const Shard>,
                       const std::function<void()>& aDone) { aDone(); },
          .mResume = [this](std::span<const Shard>) { ++mResumes; },
          .mProbeLog =
            [](const std::function<void(bool)>& aDone) { aDone(true); } })
  {
    for (const Incarnation member : { kSelf, kOther }) {
      mState.mMembers[member].mIncarnation = member;
      mState.mMembers[member].mVm = std::to_string(member);
    }
    mState.mShards.at(kShard) = { kSelf, kEpoch };
    publish();
    mFleet.onReadSucceeded(cellStream(kService), mNow);
  }

  static FleetState::Hooks fleetHooks()
  {
    FleetState::Hooks hooks;
    hooks.mOnCellChanged =
      [](const std::string&, const CellState&, const CellState&) {};
    hooks.mOnRecord = [](RandomId, FoldVerdict) {};
    return hooks;
  }

  void publish()
  {
    ++mState.mNextOffset;
    mFleet.onState(cellStream(kService), mState.mNextOffset, mState);
  }

  void handOff()
  {
    const wire::ShardGrant grant(kShard, kEpoch, kOther);
    mHandoff.orderShardMoves({ &grant, 1 });
    mHandoff.tick(false);
    BOOST_REQUIRE(mReleases.size() == 1U);
  }

  Millis mNow = 10_s;
  CellState mState;
  std::vector<RandomId> mIds;
  std::vector<wire::ReleaseT> mReleases;
  std::function<void(Result<std::uint64_t>)> mResult;
  int mResumes = 0;
  const DaemonSettings mSettings = platformSettings();
  FleetViewStore mViews;
  FleetState mFleet;
  Proposer mProposer;
  ControlContext mContext;
  HandoffManager mHandoff;
};

}

BOOST_AUTO_TEST_SUITE(handoff_manager)

// OWNER: a refused hand-off was resumed at its epoch, and a copy of its record
// was applied later, when the next owner was eligible again.
BOOST_AUTO_TEST_CASE(refused_handoff_is_resumed_at_a_higher_epoch)
{
  Fixture fixture;
  fixture.handOff();
  fixture.mProposer.onRecord(fixture.mIds.at(0), FoldVerdict::Refused);
  BOOST_TEST(fixture.mResumes == 0);
  BOOST_REQUIRE(fixture.mReleases.size() == 2U);
  const std::vector<wire::ShardGrant>& grants = fixture.mReleases[1].grants;
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants[0].shard() == kShard);
  BOOST_TEST(grants[0].base_epoch() == kEpoch);
  BOOST_TEST(grants[0].to() == kSelf);
  fixture.mProposer.onRecord(fixture.mIds.at(1), FoldVerdict::Applied);
  BOOST_TEST(fixture.mResumes == 1);
  BOOST_TEST(!fixture.mHandoff.busy());
}

// The epoch has risen: no copy can be applied any more.
BOOST_AUTO_TEST_CASE(refused_handoff_of_an_earlier_epoch_is_resumed)
{
  Fixture fixture;
  fixture.handOff();
  fixture.mState.mShards.at(kShard).mEpoch = kEpoch + 1;
  fixture.publish();
  fixture.mProposer.onRecord(fixture.mIds.at(0), FoldVerdict::Refused);
  BOOST_TEST(fixture.mResumes == 1);
  BOOST_TEST(fixture.mReleases.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reclaiming_is_tried_again_until_the_log_answers)
{
  Fixture fixture;
  fixture.handOff();
  fixture.mProposer.onRecord(fixture.mIds.at(0), FoldVerdict::Refused);
  fixture.mResult(fail(ErrorCode::Unavailable, "not written"));
  BOOST_TEST(fixture.mResumes == 0);
  fixture.mHandoff.tick(false);
  BOOST_TEST(fixture.mReleases.size() == 2U);
  fixture.mNow += 3_s;
  fixture.mHandoff.tick(false);
  BOOST_REQUIRE(fixture.mReleases.size() == 3U);
  fixture.mProposer.onRecord(fixture.mIds.at(2), FoldVerdict::Applied);
  BOOST_TEST(fixture.mResumes == 1);
}

BOOST_AUTO_TEST_SUITE_END()

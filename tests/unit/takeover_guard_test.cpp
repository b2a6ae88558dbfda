#include "radishroad/ownership/takeover_guard.h"
#include "unit/cell_log.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Millis kDeadline{ 3000 };
constexpr std::uint64_t kKey = 0x1234'5678'9ABC'DEF0ULL;

/// A cell in which member 1 owns the shard of kKey, and a guard that observes
/// the cell.
struct ObservedCell
{
  ObservedCell()
    : mLog(CellLog::withFourMembers())
    , mShard(shardOf(kKey))
  {
    mLog.assign(mShard, 0, 1);
    mLastObserved = mLog.mState;
  }
  /// Reads back the records appended since the last call.
  std::vector<OwnershipChange> readBack(Millis aNow)
  {
    const std::vector<OwnershipChange> changes =
      ownershipChanges(mLastObserved, mLog.mState);
    mGuard.onStateChange(mLastObserved, mLog.mState, aNow, kDeadline);
    mLastObserved = mLog.mState;
    return changes;
  }
  Ownership shard() const { return mLog.mState.mShards[mShard]; }

  CellLog mLog;
  Shard mShard;
  CellState mLastObserved;
  TakeoverGuard mGuard;
};

}

BOOST_AUTO_TEST_SUITE(takeover_guard)

BOOST_AUTO_TEST_CASE(planned_hand_off_needs_no_wait)
{
  ObservedCell cell;
  cell.mLog.release(1, { { cell.mShard, 1, 2 } });
  const std::vector<OwnershipChange> changes = cell.readBack(100_ms);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].mFrom == 1U);
  BOOST_TEST(changes[0].mTo == 2U);
  BOOST_TEST(changes[0].mEpoch == 2U);
  BOOST_TEST(changes[0].mPlanned);
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) <= 100_ms));
}

BOOST_AUTO_TEST_CASE(expulsion_waits_for_the_longest_deadline)
{
  ObservedCell cell;
  cell.mLog.expel(1, 0, { 2, 3 });
  const std::vector<OwnershipChange> changes = cell.readBack(100_ms);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].mPlanned);
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 100_ms + kDeadline));
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard + 1) <= 100_ms));
  cell.mGuard.prune(100_ms + kDeadline);
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 0_ms));
}

BOOST_AUTO_TEST_CASE(hand_off_during_the_wait_keeps_it)
{
  ObservedCell cell;
  cell.mLog.expel(1, 0, { 2, 3 });
  cell.readBack(100_ms);
  const Ownership newOwner = cell.shard();
  const Incarnation next = newOwner.mOwner == 2 ? 3 : 2;
  cell.mLog.release(newOwner.mOwner,
                    { { cell.mShard, newOwner.mEpoch, next } });
  BOOST_TEST(cell.readBack(900_ms).at(0).mPlanned);
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 100_ms + kDeadline));
}

BOOST_AUTO_TEST_CASE(unobserved_owner_counts_as_lost)
{
  ObservedCell cell;
  cell.mLog.release(1, { { cell.mShard, 1, 2 } });
  cell.mLog.expel(2, 0, { 3, 4 });
  const std::vector<OwnershipChange> changes = cell.readBack(100_ms);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].mPlanned);
  // Handed back to the previous owner, with another owner in between.
  const Ownership newOwner = cell.shard();
  const Incarnation other = newOwner.mOwner == 3 ? 4 : 3;
  cell.mLog.release(newOwner.mOwner,
                    { { cell.mShard, newOwner.mEpoch, other } });
  cell.mLog.release(other,
                    { { cell.mShard, newOwner.mEpoch + 1, newOwner.mOwner } });
  BOOST_TEST(!cell.readBack(200_ms).at(0).mPlanned);
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 200_ms + kDeadline));
}

BOOST_AUTO_TEST_CASE(new_split_key_inherits_the_wait_of_its_shard)
{
  ObservedCell cell;
  cell.mLog.expel(1, 0, { 2, 3 });
  cell.readBack(100_ms);
  const Ownership newOwner = cell.shard();
  const Incarnation other = newOwner.mOwner == 2 ? 3 : 2;
  cell.mLog.split(newOwner.mOwner, kKey, newOwner.mEpoch, other);
  const std::vector<OwnershipChange> changes = cell.readBack(500_ms);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].mKeyHash == kKey));
  BOOST_TEST(changes[0].mNewSplit);
  BOOST_TEST(changes[0].mPlanned);
  BOOST_TEST((cell.mGuard.splitKeyServeFrom(kKey) == 100_ms + kDeadline));
}

BOOST_AUTO_TEST_CASE(split_key_of_a_lost_owner_waits_without_its_shard)
{
  ObservedCell cell;
  cell.mLog.split(1, kKey, 1, 2);
  cell.readBack(50_ms);
  BOOST_TEST((cell.mGuard.splitKeyServeFrom(kKey) == 0_ms));
  cell.mLog.expel(2, 0, { 3, 4 });
  cell.readBack(100_ms);
  BOOST_TEST((cell.mGuard.splitKeyServeFrom(kKey) == 100_ms + kDeadline));
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 0_ms));
}

BOOST_AUTO_TEST_CASE(merge_needs_no_wait_for_the_key_or_its_shard)
{
  ObservedCell cell;
  cell.mLog.split(1, kKey, 1, 2);
  cell.readBack(50_ms);
  cell.mLog.split(2, kKey, 2, 0);
  const std::vector<OwnershipChange> changes = cell.readBack(100_ms);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].mKeyHash == kKey));
  BOOST_TEST(changes[0].mTo == 1U);
  BOOST_TEST(changes[0].mPlanned);
  BOOST_TEST((cell.mGuard.splitKeyServeFrom(kKey) == 0_ms));
  BOOST_TEST((cell.mGuard.serveFrom(cell.mShard) == 0_ms));
}

BOOST_AUTO_TEST_CASE(merge_after_an_unobserved_loss_waits)
{
  ObservedCell cell;
  cell.mLog.split(1, kKey, 1, 2);
  cell.readBack(50_ms);
  cell.mLog.expel(2, 0, { 3, 4 });
  const Ownership newOwner = ownerOf(cell.mLog.mState, kKey);
  cell.mLog.split(newOwner.mOwner, kKey, newOwner.mEpoch, 0);
  cell.readBack(100_ms);
  BOOST_TEST((cell.mGuard.splitKeyServeFrom(kKey) == 100_ms + kDeadline));
}

BOOST_AUTO_TEST_CASE(start_after_a_loss_waits_for_all)
{
  ObservedCell cell;
  TakeoverGuard fresh;
  fresh.initialize(cell.mLog.mState, 100_ms, kDeadline);
  BOOST_TEST((fresh.serveFrom(cell.mShard) == 0_ms));
  cell.mLog.expel(1, 0, { 2, 3 });
  fresh.initialize(cell.mLog.mState, 100_ms, kDeadline);
  BOOST_TEST((fresh.serveFrom(cell.mShard) == 100_ms + kDeadline));
  BOOST_TEST((fresh.splitKeyServeFrom(kKey) == 100_ms + kDeadline));
}

BOOST_AUTO_TEST_SUITE_END()

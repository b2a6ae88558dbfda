#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/state/placement.h"
#include "unit/cell_log.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace radishroad;
using radishroad::testing::CellLog;

namespace {

constexpr std::uint64_t kSeeds = 200;
constexpr int kSteps = 300;
constexpr Shard kShards = 4;
constexpr std::uint64_t kKeysPerShard = 3;
constexpr Millis kDeadline{ 3000 };

std::vector<std::uint64_t>
allKeys()
{
  std::vector<std::uint64_t> keys;
  for (Shard shard = 0; shard < kShards; ++shard) {
    for (std::uint64_t n = 0; n < kKeysPerShard; ++n) {
      keys.push_back(shard + n * kShardCount);
    }
  }
  return keys;
}

/// Splits, moves and merges keys, mixed with releases, expulsions and joins in
/// random order. A reader observes the log in batches of aReadBatch records.
class RandomSplitRun
{
public:
  RandomSplitRun(std::uint64_t aSeed, std::size_t aReadBatch)
    : mRandom(aSeed)
    , mReadBatch(aReadBatch)
  {
    for (Incarnation id = 1; id <= 6; ++id) {
      join();
    }
    for (Shard shard = 0; shard < kShards; ++shard) {
      mLog.assign(shard, 0, 1 + shard);
    }
    mLastObserved = mLog.mState;
  }

  void run()
  {
    for (int i = 0; i < kSteps; ++i) {
      mNow = mNow + Millis{ static_cast<std::int64_t>(draw(1500)) };
      const CellState before = mLog.mState;
      step();
      checkEpochs(before);
      checkFences();
      recordLosses(before);
      if (mLog.mState.mNextOffset >= mLastObserved.mNextOffset + mReadBatch) {
        mGuard.prune(mNow);
        mGuard.onStateChange(mLastObserved, mLog.mState, mNow, kDeadline);
        mLastObserved = mLog.mState;
        checkWaits();
      }
    }
  }

  int splits() const { return mSplits; }
  int merges() const { return mMerges; }
  int losses() const { return mLosses; }

private:
  std::uint64_t draw(std::uint64_t aBound) { return mRandom() % aBound; }

  void join()
  {
    const Incarnation id = ++mLastMember;
    mLog.join(id, id % 2 == 0 ? "a" : "b", { 1000 + id, 2000 + id, 3000 + id });
  }

  Incarnation drawMember()
  {
    std::vector<Incarnation> eligible;
    for (const auto& [id, member] : mLog.mState.mMembers) {
      if (isEligibleOwner(mLog.mState, id)) {
        eligible.push_back(id);
      }
    }
    return eligible[draw(eligible.size())];
  }

  void step()
  {
    const std::vector<std::uint64_t> keys = allKeys();
    const std::uint64_t key = keys[draw(keys.size())];
    const Ownership owned = ownerOf(mLog.mState, key);
    const std::uint64_t kind = draw(20);
    if (kind < 7) {
      const bool applied =
        mLog.split(owned.mOwner, key, owned.mEpoch, drawMember()) ==
        FoldVerdict::Applied;
      mSplits += applied ? 1 : 0;
    } else if (kind < 11) {
      const bool applied =
        mLog.split(owned.mOwner, key, owned.mEpoch, 0) == FoldVerdict::Applied;
      mMerges += applied ? 1 : 0;
    } else if (kind < 16) {
      const Shard shard = shardOf(key);
      const Ownership& from = mLog.mState.mShards[shard];
      mLog.release(from.mOwner, { { shard, from.mEpoch, drawMember() } });
    } else if (kind < 18) {
      // A record based on an outdated epoch.
      mLog.split(drawMember(), key, owned.mEpoch - draw(2), draw(4));
    } else {
      const Incarnation lost = drawMember();
      join();
      mLog.expel(lost, 0, { 1000 + lost, 2000 + lost });
    }
  }

  void checkEpochs(const CellState& aBefore)
  {
    for (const std::uint64_t key : allKeys()) {
      const Ownership previous = ownerOf(aBefore, key);
      const Ownership current = ownerOf(mLog.mState, key);
      BOOST_TEST(current.mEpoch >= previous.mEpoch);
      BOOST_TEST((current.mOwner == previous.mOwner ||
                  current.mEpoch > previous.mEpoch));
      const auto [it, added] =
        mOwners.try_emplace({ key, current.mEpoch }, current.mOwner);
      BOOST_TEST(it->second == current.mOwner);
    }
  }

  /// The upstream of each member remembers the highest epoch it has seen for a
  /// shard. No request of a current owner may carry a lower one.
  void checkFences()
  {
    for (const std::uint64_t key : allKeys()) {
      const Ownership owned = ownerOf(mLog.mState, key);
      Epoch& highest = mHighestEpochs[{ owned.mOwner, shardOf(key) }];
      BOOST_TEST(owned.mEpoch >= highest);
      highest = std::max(highest, owned.mEpoch);
    }
  }

  /// Requests of a lost owner may run until the longest deadline has passed.
  void recordLosses(const CellState& aBefore)
  {
    for (const std::uint64_t key : allKeys()) {
      const Incarnation previous = ownerOf(aBefore, key).mOwner;
      const bool lost =
        mLog.mState.mMembers.at(previous).mStatus == MemberStatus::Expelled;
      if (lost) {
        mRequestsRunUntil[key] = mNow + kDeadline;
        ++mLosses;
      }
    }
  }

  void checkWaits()
  {
    for (const auto& [key, until] : mRequestsRunUntil) {
      const Millis from = mGuard.serveFrom(mLog.mState, key);
      BOOST_TEST((until <= mNow || from >= until));
    }
  }

  std::mt19937_64 mRandom;
  std::size_t mReadBatch;
  CellLog mLog;
  CellState mLastObserved;
  TakeoverGuard mGuard;
  Millis mNow{ 10000 };
  Incarnation mLastMember = 0;
  std::map<std::pair<std::uint64_t, Epoch>, Incarnation> mOwners;
  std::map<std::uint64_t, Millis> mRequestsRunUntil;
  std::map<std::pair<Incarnation, Shard>, Epoch> mHighestEpochs;
  int mSplits = 0;
  int mMerges = 0;
  int mLosses = 0;
};

}

BOOST_AUTO_TEST_SUITE(split_key_property)

BOOST_AUTO_TEST_CASE(epochs_rise_and_new_owners_wait_for_lost_ones)
{
  for (const std::size_t batch : { 1U, 3U, 8U }) {
    int splits = 0;
    int merges = 0;
    int losses = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RandomSplitRun run(seed, batch);
      run.run();
      splits += run.splits();
      merges += run.merges();
      losses += run.losses();
    }
    BOOST_TEST_MESSAGE("batch " << batch << ": " << splits << " splits, "
                                << merges << " merges, " << losses
                                << " keys lost an owner");
    BOOST_TEST(splits > 10 * static_cast<int>(kSeeds));
    BOOST_TEST(merges > 5 * static_cast<int>(kSeeds));
    BOOST_TEST(losses > 5 * static_cast<int>(kSeeds));
  }
}

BOOST_AUTO_TEST_SUITE_END()

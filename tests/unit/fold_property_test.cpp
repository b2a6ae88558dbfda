#include "cell_log.h"

#include "radishroad/state/placement.h"
#include "radishroad/state/stream_loader.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace radishroad;
using radishroad::testing::CellLog;

namespace {

constexpr std::uint64_t kSeeds = 60;
constexpr std::size_t kSteps = 400;
constexpr Incarnation kMembers = 6;
constexpr Shard kShards = 12;

using FoldFn = std::function<FoldVerdict(CellState&, const LogRecord&)>;

/// Simulates writers that race on one log. Each proposes changes from a view
/// that may be outdated. The answer to an append may be lost; the writer then
/// appends the same bytes again, immediately or after records of others.
class RacingWriters
{
public:
  RacingWriters(std::uint64_t aSeed, FoldFn aFold)
    : mRandom(aSeed)
    , mFold(std::move(aFold))
    , mViews(4)
  {
  }

  void run()
  {
    for (std::size_t i = 0; i < kSteps; ++i) {
      step();
    }
    for (Bytes& bytes : mRetries) {
      mLog.appendBytes(std::move(bytes));
    }
  }

  /// Counts changes that give a shard two owners at the same epoch or skip an
  /// epoch. The epoch of a new owner must be one above the highest epoch of the
  /// shard and its split key; a split key of the same owner may raise it
  /// further.
  std::size_t violationCount() const { return mViolationCount; }
  const CellLog& log() const { return mLog; }

private:
  std::uint64_t randomBelow(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mRandom);
  }

  void step()
  {
    CellState& view = mViews[randomBelow(mViews.size())];
    if (randomBelow(3) != 0) {
      catchUp(view);
    }
    if (randomBelow(12) == 0) {
      append(
        Bytes(randomBelow(60), static_cast<std::uint8_t>(randomBelow(256))));
    } else if (randomBelow(15) == 0) {
      appendSnapshot(view);
    } else if (!mRetries.empty() && randomBelow(4) == 0) {
      append(mRetries[randomBelow(mRetries.size())]);
    } else {
      propose(view);
    }
  }

  void catchUp(CellState& aView)
  {
    while (aView.mNextOffset < mLog.mRecords.size()) {
      const CellState before = aView;
      const LogRecord& record = mLog.mRecords[aView.mNextOffset];
      mFold(aView, record);
      checkEpochs(before, aView, record.mOffset);
    }
  }

  void checkEpochs(const CellState& aBefore,
                   const CellState& aAfter,
                   std::uint64_t aOffset)
  {
    if (!mChecked.insert(aOffset).second) {
      return;
    }
    for (Shard shard = 0; shard < kShards; ++shard) {
      const Ownership& was = aBefore.mShards[shard];
      const Ownership& is = aAfter.mShards[shard];
      // Only the key whose hash equals the shard number is ever split out.
      const Ownership keyWas = ownerOf(aBefore, shard);
      const Ownership keyIs = ownerOf(aAfter, shard);
      const Epoch next = std::max(was.mEpoch, keyWas.mEpoch) + 1;
      const bool raised = aAfter.mSplitKeys.contains(shard) && keyIs == is &&
                          is.mEpoch > was.mEpoch && is.mEpoch <= next + 1;
      mViolationCount += is != was && !raised && is.mEpoch != next ? 1 : 0;
    }
  }

  void append(Bytes aBytes)
  {
    const bool answerLost = randomBelow(5) == 0;
    if (answerLost) {
      mRetries.push_back(aBytes);
    }
    mLog.appendBytes(std::move(aBytes));
  }

  template<typename Change>
  void appendChange(Change aChange)
  {
    const RandomId id{ mRandom(), mRandom() };
    append(encodeRecord(makeRecord(std::move(aChange), id, Millis{})));
  }

  void appendSnapshot(const CellState& aView)
  {
    const std::size_t chunkBytes = 500 + randomBelow(20000);
    const bool incomplete = randomBelow(3) == 0;
    for (const wire::SnapshotChunkT& chunk : makeSnapshot(aView, chunkBytes)) {
      if (incomplete && randomBelow(2) == 0) {
        continue;
      }
      appendChange(chunk);
    }
  }

  void propose(const CellState& aView)
  {
    const Incarnation member = 1 + randomBelow(kMembers);
    const Shard shard = static_cast<Shard>(randomBelow(kShards));
    const Ownership& ownership = aView.mShards[shard];
    const wire::ShardGrant grant(shard, ownership.mEpoch, member);
    if (!aView.mMembers.contains(member)) {
      appendJoin(member);
    } else if (ownership.mOwner == 0) {
      wire::AssignT change;
      change.grants.push_back(grant);
      appendChange(change);
    } else {
      proposeChange(aView, ownership.mOwner, grant);
    }
  }

  void appendJoin(Incarnation aMember)
  {
    wire::JoinT change;
    change.vm = "vm-" + std::to_string(aMember);
    change.zone = aMember % 2 == 0 ? "a" : "b";
    change.incarnation = aMember;
    change.witnesses = { aMember + 1, aMember + 2, aMember + 3 };
    appendChange(change);
  }

  void proposeChange(const CellState& aView,
                     Incarnation aOwner,
                     const wire::ShardGrant& aGrant)
  {
    const std::uint64_t kind = randomBelow(10);
    const Member& owner = aView.mMembers.at(aOwner);
    if (kind < 6) {
      wire::ReleaseT change;
      change.incarnation = aOwner;
      change.grants.push_back(aGrant);
      appendChange(change);
    } else if (kind < 7 && aOwner > 2) {
      wire::ExpelT change;
      change.incarnation = aOwner;
      change.witness_version = owner.mWitnessVersion;
      change.consents = { owner.mWitnesses.begin(),
                          owner.mWitnesses.begin() + 2 };
      appendChange(change);
    } else if (kind < 8) {
      wire::SplitKeyT change;
      change.incarnation = aOwner;
      change.key_hash = aGrant.shard();
      change.shard = aGrant.shard();
      change.base_epoch = aGrant.base_epoch();
      change.to = aGrant.to();
      appendChange(change);
    } else {
      wire::DrainT change;
      change.vm = "vm-" + std::to_string(aGrant.to());
      change.on = kind == 8;
      appendChange(change);
    }
  }

  std::mt19937_64 mRandom;
  FoldFn mFold;
  std::vector<CellState> mViews;
  CellLog mLog;
  std::vector<Bytes> mRetries;
  std::set<std::uint64_t> mChecked;
  std::size_t mViolationCount = 0;
};

FoldVerdict
standardFold(CellState& aState, const LogRecord& aRecord)
{
  return fold(aState, aRecord);
}

/// A fold that applies releases without checking preconditions, so the last
/// grant wins.
FoldVerdict
foldWithoutPreconditions(CellState& aState, const LogRecord& aRecord)
{
  const Result<std::unique_ptr<wire::RecordT>> record =
    decodeRecord(aRecord.mData);
  const wire::ReleaseT* release =
    record ? (*record)->change.AsRelease() : nullptr;
  if (release == nullptr) {
    return fold(aState, aRecord);
  }
  ++aState.mNextOffset;
  for (const wire::ShardGrant& grant : release->grants) {
    aState.mShards[grant.shard()] = { grant.to(), grant.base_epoch() + 1 };
  }
  return FoldVerdict::Applied;
}

CellState
readInBatches(const CellLog& aLog, std::size_t aFirst, std::mt19937_64& aRandom)
{
  StreamLoader<CellState> loader;
  loader.onRecordsExpired(aFirst);
  std::span<const LogRecord> rest(aLog.mRecords);
  rest = rest.subspan(aFirst);
  while (!rest.empty()) {
    const std::size_t n = std::min<std::size_t>(rest.size(), aRandom() % 9);
    loader.add(rest.first(n));
    // Records relayed by a peer may arrive a second time.
    loader.add(rest.first(n / 2));
    rest = rest.subspan(n);
  }
  return loader.isComplete() ? loader.state() : CellState{};
}

}

BOOST_AUTO_TEST_SUITE(fold_property)

BOOST_AUTO_TEST_CASE(all_readers_of_racing_writers_reach_the_same_state)
{
  std::size_t fromSnapshot = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RacingWriters writers(seed, standardFold);
    writers.run();
    BOOST_TEST(writers.violationCount() == 0U);
    const CellLog& log = writers.log();
    std::mt19937_64 random(seed);
    for (int reader = 0; reader < 3; ++reader) {
      BOOST_CHECK((readInBatches(log, 0, random) == log.mState));
    }
    for (int reader = 0; reader < 3; ++reader) {
      const std::size_t first = 1 + random() % (log.mRecords.size() / 2);
      const CellState state = readInBatches(log, first, random);
      if (state.mNextOffset != 0) {
        ++fromSnapshot;
        BOOST_CHECK((state == log.mState));
      }
    }
  }
  BOOST_TEST(fromSnapshot > 2 * kSeeds);
}

BOOST_AUTO_TEST_CASE(without_preconditions_racing_writers_violate_ownership)
{
  std::size_t seedsWithViolations = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RacingWriters writers(seed, foldWithoutPreconditions);
    writers.run();
    seedsWithViolations += writers.violationCount() > 0 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(
    "seeds broken without preconditions: " << seedsWithViolations);
  BOOST_TEST(seedsWithViolations > kSeeds / 2);
}

BOOST_AUTO_TEST_SUITE_END()

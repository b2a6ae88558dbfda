#include "cell_log.h"

#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/snapshot_policy.h"
#include "radishroad/state/stream_loader.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

CellLog
makeMixedLog()
{
  CellLog log = CellLog::withFourMembers();
  for (Shard shard = 0; shard < 20; ++shard) {
    log.assign(shard, 0, 1 + shard % 4);
  }
  log.split(1, 4, 1, 3);
  log.drain("vm-4", true);
  log.zonesOut(3, { "c" });
  log.expel(2, 0, { 1, 3 });
  return log;
}

std::span<const LogRecord>
recordsFrom(const CellLog& aLog, std::size_t aFirst)
{
  return std::span(aLog.mRecords).subspan(aFirst);
}

}

BOOST_AUTO_TEST_SUITE(snapshot)

BOOST_AUTO_TEST_CASE(state_is_restored_from_chunks_in_any_order)
{
  const CellState state = makeMixedLog().mState;
  std::vector<wire::SnapshotChunkT> chunks = makeSnapshot(state, 100);
  BOOST_TEST(chunks.size() > 10U);
  std::reverse(chunks.begin(), chunks.end());
  SnapshotReader<CellState> reader;
  std::optional<CellState> read;
  for (const wire::SnapshotChunkT& chunk : chunks) {
    BOOST_TEST(!read.has_value());
    read = reader.add(chunk);
    reader.add(chunks.front());
  }
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK((*read == state));
  BOOST_CHECK((makeSnapshot(CellState{}, 100).empty()));
}

BOOST_AUTO_TEST_CASE(rollout_is_restored)
{
  CellState state = makeMixedLog().mState;
  // A state without a rollout is encoded as before.
  CellState read;
  BOOST_REQUIRE(decodeState(encodeState(state), read).has_value());
  BOOST_CHECK((read == state));
  state.mMembers.at(1).mVersion = "v2";
  state.mRollout = {
    4, "v2", { 7, RolloutState::Completed, 1000, 123456_ms, 900, 80, 1 }
  };
  BOOST_REQUIRE(decodeState(encodeState(state), read).has_value());
  BOOST_CHECK((read == state));
}

BOOST_AUTO_TEST_CASE(configuration_is_restored)
{
  ConfigState state;
  state.mNextOffset = 9;
  state.mVersion = 4;
  state.mOperator = "op";
  state.mFiles = { { "10-a.yaml", "x: 1" }, { "20-b.yaml", "" } };
  state.mSeenIds.add({ 1, 2 });
  SnapshotReader<ConfigState> reader;
  const std::vector<wire::SnapshotChunkT> chunks = makeSnapshot(state, 1 << 20);
  BOOST_REQUIRE(chunks.size() == 1U);
  BOOST_CHECK((reader.add(chunks[0]) == state));
  SnapshotReader<CellState> other;
  BOOST_CHECK((!other.add(chunks[0])));
}

BOOST_AUTO_TEST_CASE(incomplete_and_corrupt_snapshots_are_not_returned)
{
  const CellState state = makeMixedLog().mState;
  const std::vector<wire::SnapshotChunkT> chunks = makeSnapshot(state, 1000);
  SnapshotReader<CellState> incomplete;
  for (std::size_t i = 1; i < chunks.size(); ++i) {
    BOOST_CHECK((!incomplete.add(chunks[i])));
  }
  SnapshotReader<CellState> corrupt;
  for (wire::SnapshotChunkT chunk : chunks) {
    chunk.data[0] ^= 1;
    BOOST_CHECK((!corrupt.add(chunk)));
  }
  wire::SnapshotChunkT outOfRange = chunks[0];
  outOfRange.index = outOfRange.count;
  BOOST_CHECK((!incomplete.add(outOfRange)));
  // Many incomplete snapshots evict the oldest one; a complete one is still
  // restored.
  for (std::uint64_t i = 0; i < 3 * kMaxPendingSnapshots; ++i) {
    wire::SnapshotChunkT part = chunks[0];
    part.checksum = i;
    incomplete.add(part);
  }
  std::optional<CellState> complete;
  for (std::size_t i = 0; i < chunks.size() && !complete; ++i) {
    complete = incomplete.add(chunks[i]);
  }
  BOOST_CHECK((complete == state));
}

BOOST_AUTO_TEST_CASE(loader_starts_from_the_first_snapshot_that_covers_the_gap)
{
  CellLog log = makeMixedLog();
  const std::vector<wire::SnapshotChunkT> early =
    makeSnapshot(log.mState, 4000);
  log.assign(30, 0, 1);
  for (const wire::SnapshotChunkT& chunk : early) {
    log.append(chunk);
  }
  const std::size_t afterEarly = log.mRecords.size();
  log.assign(31, 0, 1);
  StreamLoader<CellState> loader;
  loader.onRecordsExpired(5);
  BOOST_TEST(!loader.isComplete());
  loader.add(recordsFrom(log, 5).first(afterEarly - 6));
  BOOST_TEST(!loader.isComplete());
  loader.add(recordsFrom(log, 7));
  BOOST_TEST(loader.isComplete());
  BOOST_CHECK((loader.state() == log.mState));
  BOOST_TEST(loader.lastSnapshot()->mLastFoldedOffset == early[0].as_of);

  StreamLoader<CellState> late;
  late.add(recordsFrom(log, early[0].as_of + 2));
  BOOST_TEST(!late.isComplete());
  for (const wire::SnapshotChunkT& chunk : makeSnapshot(log.mState, 4000)) {
    log.append(chunk);
  }
  late.add(recordsFrom(log, early[0].as_of + 2));
  BOOST_TEST(late.isComplete());
  BOOST_CHECK((late.state() == log.mState));
}

BOOST_AUTO_TEST_CASE(loader_ignores_snapshots_older_than_its_state)
{
  CellLog log = makeMixedLog();
  StreamLoader<CellState> loader;
  loader.add(log.mRecords);
  const CellState before = loader.state();
  wire::SnapshotChunkT old = makeSnapshot(before, 1 << 20)[0];
  log.assign(30, 0, 1);
  log.assign(31, 0, 1);
  log.append(old);
  loader.add(recordsFrom(log, log.mRecords.size() - 2));
  BOOST_TEST(!loader.isComplete());
  BOOST_CHECK((loader.state() == before));
  log.append(makeSnapshot(log.mState, 1 << 20)[0]);
  loader.add(recordsFrom(log, log.mRecords.size() - 1));
  BOOST_TEST(loader.isComplete());
  BOOST_CHECK((loader.state() == log.mState));
}

BOOST_AUTO_TEST_CASE(snapshot_is_due_by_record_count_age_and_expiry)
{
  const Millis now = 1000000_ms;
  BOOST_TEST(!isSnapshotDue({}, now));
  BOOST_TEST(!isSnapshotDue({ 100, 0, {}, {} }, now));
  BOOST_TEST(isSnapshotDue({ kSnapshotIntervalRecords, 0, {}, {} }, now));
  BOOST_TEST(isSnapshotDue({ 100, 1, {}, {} }, now));
  BOOST_TEST(!isSnapshotDue({ 5000, 0, 4500, now }, now));
  BOOST_TEST(isSnapshotDue({ 5000, 4600, 4500, now }, now));
  // The log retains 1000 records; a quarter of them may follow the snapshot.
  BOOST_TEST(!isSnapshotDue({ 5000, 4000, 4800, now }, now));
  BOOST_TEST(isSnapshotDue({ 5000, 4000, 4700, now }, now));
  BOOST_TEST(!isSnapshotDue({ 5000, 4990, 4995, now }, now));
  BOOST_TEST(isSnapshotDue({ 5000, 0, 4999, now }, now + kSnapshotInterval));
}

BOOST_AUTO_TEST_SUITE_END()

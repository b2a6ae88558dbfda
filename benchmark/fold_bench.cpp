// Measures the fold time and the memory of a cell's state, and the size and
// load time of its snapshot, at several sizes. Prints one table for each.
#include "radishroad/state/fold.h"
#include "radishroad/state/snapshot.h"
#include "radishroad/state/snapshot_codec.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <vector>

using namespace radishroad;

namespace {

constexpr std::size_t kTimedRecords = 2000;
constexpr std::size_t kTimedLoads = 20;
constexpr std::size_t kWitnesses = 5;

/// Builds a cell's state by folding records.
struct CellBuilder
{
  CellState mState;
  std::uint64_t mLastId = 0;

  template<typename Change>
  LogRecord makeLogRecord(Change aChange)
  {
    const RandomId id{ 0, ++mLastId };
    return { mState.mNextOffset,
             {},
             encodeRecord(makeRecord(std::move(aChange), id, Millis{})) };
  }

  template<typename Change>
  FoldVerdict foldChange(Change aChange)
  {
    return fold(mState, makeLogRecord(std::move(aChange)));
  }
};

wire::JoinT
makeJoin(Incarnation aMember, std::size_t aMembers)
{
  wire::JoinT join;
  join.vm = "upstream-vm-" + std::to_string(aMember);
  join.zone = "zone-" + std::to_string(aMember % 3);
  join.incarnation = aMember;
  join.peer_address = "10.100.100." + std::to_string(aMember) + ":7001";
  join.caller_address = join.peer_address;
  join.operator_address = join.peer_address;
  for (std::size_t i = 1; i <= kWitnesses && i < aMembers; ++i) {
    join.witnesses.push_back(1 + (aMember + i - 1) % aMembers);
  }
  return join;
}

CellBuilder
buildCell(std::size_t aMembers, std::size_t aSplitKeys, std::size_t aSeenIds)
{
  CellBuilder cell;
  for (Incarnation it = 1; it <= aMembers; ++it) {
    cell.foldChange(makeJoin(it, aMembers));
  }
  wire::AssignT assign;
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    assign.grants.emplace_back(shard, 0, 1 + shard % aMembers);
  }
  cell.foldChange(std::move(assign));
  for (std::uint64_t key = 0; key < aSplitKeys; ++key) {
    wire::SplitKeyT split;
    split.key_hash = key;
    split.shard = shardOf(key);
    split.incarnation = cell.mState.mShards[split.shard].mOwner;
    split.base_epoch = cell.mState.mShards[split.shard].mEpoch;
    split.to = 1 + key % aMembers;
    cell.foldChange(split);
  }
  while (cell.mState.mSeenIds.size() < aSeenIds) {
    cell.mState.mSeenIds.add({ 1, ++cell.mLastId });
  }
  return cell;
}

double
microsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

/// Mean microseconds to fold each record that aMake makes from the cell.
template<typename Make>
double
measureFold(CellBuilder aCell, std::size_t aCount, Make aMake)
{
  double micros = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    const LogRecord record = aCell.makeLogRecord(aMake(aCell.mState, i));
    const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    const FoldVerdict verdict = fold(aCell.mState, record);
    micros += microsSince(start);
    if (verdict != FoldVerdict::Applied) {
      std::fprintf(stderr, "record %zu was not applied\n", i);
    }
  }
  return micros / static_cast<double>(aCount);
}

wire::ReleaseT
makeRelease(const CellState& aState, std::size_t aRound)
{
  const Shard shard = static_cast<Shard>(aRound % kShardCount);
  const Ownership& ownership = aState.mShards[shard];
  wire::ReleaseT release;
  release.incarnation = ownership.mOwner;
  const Incarnation to = 1 + ownership.mOwner % aState.mMembers.size();
  release.grants.emplace_back(shard, ownership.mEpoch, to);
  return release;
}

wire::DrainT
makeDrain(const CellState&, std::size_t aRound)
{
  wire::DrainT drain;
  drain.vm = "upstream-vm-1";
  drain.on = aRound % 2 == 0;
  return drain;
}

wire::ExpelT
makeExpel(const CellState& aState, std::size_t aRound)
{
  wire::ExpelT expel;
  expel.incarnation = aRound + 1;
  expel.consents = aState.mMembers.at(expel.incarnation).mWitnesses;
  return expel;
}

void
printFoldTimes()
{
  std::printf("microseconds for each folded record\n");
  std::printf("members  split keys  release  drain on/off  expel\n");
  for (const std::size_t members : { 4, 16, 64, 256 }) {
    for (const std::size_t keys : { 0, 512, 4096 }) {
      const CellBuilder cell = buildCell(members, keys, RecentIds::kCapacity);
      const double release = measureFold(cell, kTimedRecords, makeRelease);
      const double drain = measureFold(cell, kTimedRecords, makeDrain);
      const double expel = measureFold(cell, members / 2, makeExpel);
      std::printf("%7zu  %10zu  %7.2f  %12.2f  %5.1f\n",
                  members,
                  keys,
                  release,
                  drain,
                  expel);
    }
  }
}

std::size_t
heapBytes()
{
  return mallinfo2().uordblks;
}

void
printSizes()
{
  std::printf("\nmemory of a state, its snapshot, encode and load time\n");
  std::printf("members  split keys   ids   memory B  snapshot B  encode us  "
              "load us  copy us\n");
  for (const std::size_t members : { 4, 16, 64, 256 }) {
    for (const std::size_t keys : { 0, 512, 4096 }) {
      for (const std::size_t ids : { std::size_t{ 0 }, RecentIds::kCapacity }) {
        const CellBuilder cell = buildCell(members, keys, ids);
        const std::size_t before = heapBytes();
        const CellState copy = cell.mState;
        const std::size_t memory = heapBytes() - before;
        std::chrono::steady_clock::time_point start =
          std::chrono::steady_clock::now();
        Bytes bytes;
        for (std::size_t i = 0; i < kTimedLoads; ++i) {
          bytes = encodeState(copy);
        }
        const double encode = microsSince(start) / kTimedLoads;
        start = std::chrono::steady_clock::now();
        CellState loaded;
        for (std::size_t i = 0; i < kTimedLoads; ++i) {
          decodeState(bytes, loaded);
        }
        const double load = microsSince(start) / kTimedLoads;
        start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < kTimedLoads; ++i) {
          loaded = copy;
        }
        std::printf("%7zu  %10zu  %4zu  %9zu  %10zu  %9.0f  %7.0f  %7.0f\n",
                    members,
                    keys,
                    cell.mState.mSeenIds.size(),
                    memory,
                    bytes.size(),
                    encode,
                    load,
                    microsSince(start) / kTimedLoads);
      }
    }
  }
}

}

int
main()
{
  printFoldTimes();
  printSizes();
  return 0;
}

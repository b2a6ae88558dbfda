// Verifies and unpacks mutated peer frames. A frame that verifies must survive
// being packed again. Relayed records go through the record cache and are
// folded.
#include "mutator.h"

#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/record_cache.h"
#include "radishroad/state/relay.h"
#include "radishroad/state/stream_loader.h"

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 100000;

Bytes
pack(const wire::FrameT& aFrame)
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishFrameBuffer(builder, wire::Frame::Pack(builder, &aFrame));
  const std::uint8_t* begin = builder.GetBufferPointer();
  return { begin, begin + builder.GetSize() };
}

std::unique_ptr<wire::FrameT>
unpack(const Bytes& aBytes)
{
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return nullptr;
  }
  return wire::UnPackFrame(aBytes.data());
}

template<typename Body>
Bytes
frameOf(Body aBody)
{
  wire::FrameT frame;
  frame.body.Set(std::move(aBody));
  return pack(frame);
}

Bytes
forwardRequestFrame()
{
  wire::ForwardRequestT body;
  body.workspace = "w";
  body.service = "catalog";
  body.method = "GET";
  body.target = "/a?b=c";
  body.headers.push_back(std::make_unique<wire::HeaderT>());
  body.headers.back()->name = "x";
  body.body = { 1, 2, 3 };
  return frameOf(std::move(body));
}

Bytes
forwardAnswerFrame()
{
  wire::ForwardAnswerT body;
  body.kind = wire::AnswerKind::NotRun;
  body.status = 200;
  body.headers.push_back(std::make_unique<wire::HeaderT>());
  body.body = { 9 };
  return frameOf(std::move(body));
}

Bytes
renewFrame()
{
  wire::RenewT body;
  body.incarnation = 4;
  body.heard_sent_ms = 9;
  return frameOf(body);
}

Bytes
promiseFrame()
{
  wire::PromiseT body;
  body.incarnation = 4;
  body.positions.push_back(std::make_unique<wire::StreamPositionT>());
  body.positions.back()->stream = "config";
  return frameOf(std::move(body));
}

Bytes
loadReportFrame()
{
  wire::LoadReportT body;
  body.shards.emplace_back(1, 2, 3);
  body.hot_keys.push_back(std::make_unique<wire::HotKeyT>());
  return frameOf(std::move(body));
}

Bytes
moveOrderFrame()
{
  wire::MoveOrderT body;
  body.grants.emplace_back(1, 2, 3);
  return frameOf(std::move(body));
}

/// A frame of consecutive records that start at offset aFrom.
Bytes
relayFrame(std::uint64_t aFrom)
{
  std::vector<LogRecord> records;
  for (std::uint64_t i = 0; i < 3; ++i) {
    wire::JoinT join;
    join.vm = "vm";
    join.zone = "a";
    join.incarnation = aFrom + i + 1;
    records.push_back(
      { aFrom + i,
        {},
        encodeRecord(makeRecord(join, { 0, aFrom + i }, Millis{})) });
  }
  return frameOf(makeRelayFrame("cell-x", records));
}

Bytes
drawFrame(Mutator& aMutator, std::uint64_t aNextOffset)
{
  switch (aMutator.draw(13)) {
    case 0:
      return forwardRequestFrame();
    case 1:
      return forwardAnswerFrame();
    case 2:
      return renewFrame();
    case 3:
      return loadReportFrame();
    case 4:
      return moveOrderFrame();
    case 5:
      return frameOf(wire::HelloT{});
    case 6:
      return frameOf(wire::ConsentT{});
    case 7:
      return frameOf(wire::TokenGrantT{});
    case 8:
      return frameOf(wire::FetchRecordsT{});
    case 9:
      return frameOf(wire::CrashReportT{});
    case 10:
      return promiseFrame();
    default:
      return relayFrame(aNextOffset);
  }
}

struct Replica
{
  RecordCache mCache;
  StreamLoader<CellState> mLoader;

  /// Folds the records that the cache accepts, and checks that everything in
  /// the cache has been folded.
  void addRelayed(const wire::RelayRecordsT& aFrame, std::uint64_t aRound)
  {
    const std::vector<LogRecord> records = relayedRecords(aFrame);
    const std::uint64_t nextOffset = mLoader.state().mNextOffset;
    const bool isContiguous =
      !records.empty() && records[0].mOffset <= nextOffset;
    if (isContiguous && mCache.add(records)) {
      mLoader.add(records);
    }
    require(mLoader.isComplete(), "replica has a gap", aRound);
    require(mCache.nextOffset() == mLoader.state().mNextOffset,
            "cache and replica are at different offsets",
            aRound);
  }
};

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  Replica replica;
  std::uint64_t valid = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    const std::uint64_t nextOffset = replica.mLoader.state().mNextOffset;
    const Bytes bytes = mutator.mutate(drawFrame(mutator, nextOffset));
    const std::unique_ptr<wire::FrameT> frame = unpack(bytes);
    if (frame == nullptr) {
      continue;
    }
    ++valid;
    if (frame->body.value == nullptr) {
      continue;
    }
    const Bytes first = pack(*frame);
    const std::unique_ptr<wire::FrameT> copy = unpack(first);
    require(copy != nullptr, "re-encoded frame does not verify", round);
    require(pack(*copy) == first, "re-encoding is not stable", round);
    if (const wire::RelayRecordsT* relayed = frame->body.AsRelayRecords()) {
      replica.addRelayed(*relayed, round);
    }
  }
  std::printf(
    "rounds %llu, valid %llu, folded %llu\n",
    static_cast<unsigned long long>(arguments.mRounds),
    static_cast<unsigned long long>(valid),
    static_cast<unsigned long long>(replica.mLoader.state().mNextOffset));
  return 0;
}

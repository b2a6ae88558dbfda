// Decodes and folds mutated records. Two replicas must stay equal, a record
// that is not applied must change nothing, and decoding must be repeatable.
#include "mutator.h"

#include "radishroad/state/fold.h"
#include "radishroad/state/snapshot.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/stream_loader.h"

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

constexpr std::size_t kMinActiveMembers = 6;
constexpr Incarnation kVmCount = 32;
constexpr Shard kUsedShards = 4;
constexpr std::uint64_t kSnapshotRounds = 64;

/// Several incarnations have the same VM, as after a restart.
std::string
vmOf(Incarnation aMember)
{
  return "vm-" + std::to_string(aMember % kVmCount);
}

/// Generates valid records based on a state.
class RecordGenerator
{
public:
  explicit RecordGenerator(Mutator& aMutator)
    : mMutator(aMutator)
  {
  }

  Bytes next(const CellState& aState)
  {
    const Incarnation member = drawActiveMember(aState);
    const Shard shard = static_cast<Shard>(mMutator.draw(kUsedShards));
    const Ownership& ownership = aState.mShards[shard];
    if (member == 0 || mActive.size() < kMinActiveMembers) {
      return join(++mLastJoined);
    }
    switch (mMutator.draw(12)) {
      case 0:
        return join(mMutator.draw(4) == 0 ? member : ++mLastJoined);
      case 1:
        return rewitness(aState, member);
      case 2:
        return expel(aState, member);
      case 3:
        return leave(member);
      case 4:
        return drain(member);
      case 5:
        return zonesOut(aState);
      case 6:
        return publish();
      case 7:
        return snapshotChunk(aState);
      case 8:
        return declareLost(member);
      case 9:
        return split(ownership, shard, member);
      case 10:
        return assign(drawGrants(aState, shard, member));
      default:
        return release(ownership.mOwner, drawGrants(aState, shard, member));
    }
  }

private:
  Incarnation drawActiveMember(const CellState& aState)
  {
    mActive.clear();
    for (const auto& [incarnation, member] : aState.mMembers) {
      if (member.mStatus == MemberStatus::Active) {
        mActive.push_back(incarnation);
      }
    }
    return mActive.empty() ? 0 : mActive[mMutator.draw(mActive.size())];
  }

  /// Returns a valid grant, and often a second one that may be invalid.
  std::vector<wire::ShardGrant> drawGrants(const CellState& aState,
                                           Shard aShard,
                                           Incarnation aTo)
  {
    std::vector<wire::ShardGrant> grants;
    grants.emplace_back(aShard, aState.mShards[aShard].mEpoch, aTo);
    if (mMutator.draw(2) == 0) {
      const Shard other = static_cast<Shard>(mMutator.draw(kUsedShards));
      grants.emplace_back(other, aState.mShards[other].mEpoch, aTo);
    }
    return grants;
  }

  template<typename Change>
  Bytes encode(Change aChange)
  {
    const RandomId id{ mMutator.draw(1U << 20), 0 };
    return encodeRecord(makeRecord(std::move(aChange), id, Millis{}));
  }

  Bytes join(Incarnation aMember)
  {
    wire::JoinT change;
    change.vm = vmOf(aMember);
    change.zone = aMember % 2 == 0 ? "a" : "b";
    change.incarnation = aMember;
    change.witnesses = { aMember + 1, aMember + 2, aMember + 3 };
    return encode(change);
  }

  Bytes rewitness(const CellState& aState, Incarnation aMember)
  {
    wire::RewitnessT change;
    change.incarnation = aMember;
    change.witnesses = { aMember + 1, aMember + 2, aMember + 3 };
    const auto it = aState.mMembers.find(aMember);
    change.base_version =
      it == aState.mMembers.end() ? 0 : it->second.mWitnessVersion;
    return encode(change);
  }

  Bytes expel(const CellState& aState, Incarnation aMember)
  {
    wire::ExpelT change;
    change.incarnation = aMember;
    const auto it = aState.mMembers.find(aMember);
    if (it != aState.mMembers.end()) {
      change.witness_version = it->second.mWitnessVersion;
      change.consents = it->second.mWitnesses;
    }
    return encode(change);
  }

  Bytes leave(Incarnation aMember)
  {
    wire::LeaveT change;
    change.incarnation = aMember;
    return encode(change);
  }

  Bytes drain(Incarnation aMember)
  {
    wire::DrainT change;
    change.vm = vmOf(aMember);
    change.on = mMutator.draw(3) == 0;
    return encode(change);
  }

  Bytes zonesOut(const CellState& aState)
  {
    wire::ZonesOutT change;
    change.config_version = aState.mZonesVersion + mMutator.draw(2);
    if (mMutator.draw(3) == 0) {
      change.zones = { "a" };
    }
    return encode(change);
  }

  Bytes publish()
  {
    wire::PublishT change;
    change.base_version = mMutator.draw(3);
    change.files.push_back(std::make_unique<wire::ConfigFileT>());
    change.files.back()->name = "10.yaml";
    return encode(std::move(change));
  }

  Bytes snapshotChunk(const CellState& aState)
  {
    std::vector<wire::SnapshotChunkT> chunks = makeSnapshot(aState, 20000);
    if (chunks.empty()) {
      return publish();
    }
    return encode(std::move(chunks[mMutator.draw(chunks.size())]));
  }

  Bytes declareLost(Incarnation aMember)
  {
    wire::DeclareLostT change;
    change.vm = vmOf(aMember);
    change.incarnation = aMember;
    return encode(change);
  }

  Bytes split(const Ownership& aOwnership, Shard aShard, Incarnation aTo)
  {
    wire::SplitKeyT change;
    change.incarnation = aOwnership.mOwner;
    change.shard = aShard;
    change.key_hash = aShard + kShardCount * mMutator.draw(4);
    change.base_epoch = aOwnership.mEpoch;
    change.to = aTo;
    return encode(change);
  }

  Bytes assign(std::vector<wire::ShardGrant> aGrants)
  {
    wire::AssignT change;
    change.grants = std::move(aGrants);
    return encode(change);
  }

  Bytes release(Incarnation aOwner, std::vector<wire::ShardGrant> aGrants)
  {
    wire::ReleaseT change;
    change.incarnation = aOwner;
    change.grants = std::move(aGrants);
    return encode(change);
  }

  Mutator& mMutator;
  Incarnation mLastJoined = 0;
  std::vector<Incarnation> mActive;
};

/// Returns whether the bytes decode. Checks that this does not depend on their
/// alignment, and that a decoded record survives being encoded again.
bool
checkDecode(const Bytes& aBytes, std::uint64_t aRound)
{
  const Result<std::unique_ptr<wire::RecordT>> record = decodeRecord(aBytes);
  Bytes shifted(aBytes.size() + 1);
  std::copy(aBytes.begin(), aBytes.end(), shifted.begin() + 1);
  const std::span<const std::uint8_t> unaligned(shifted);
  const bool again = decodeRecord(unaligned.subspan(1)).has_value();
  require(record.has_value() == again, "decoding depends on alignment", aRound);
  if (!record) {
    return false;
  }
  const Bytes first = encodeRecord(**record);
  const Result<std::unique_ptr<wire::RecordT>> copy = decodeRecord(first);
  require(copy.has_value(), "re-encoded record does not decode", aRound);
  require(encodeRecord(**copy) == first, "re-encoding is not stable", aRound);
  return true;
}

void
checkState(const CellState& aState, std::uint64_t aRound)
{
  require(
    aState.mShards.size() == kShardCount, "wrong number of shards", aRound);
  for (const Ownership& shard : aState.mShards) {
    const auto it = aState.mMembers.find(shard.mOwner);
    const bool active =
      it != aState.mMembers.end() && it->second.mStatus == MemberStatus::Active;
    require(
      shard.mOwner == 0 || active, "owner is not an active member", aRound);
  }
}

void
checkUnchanged(CellState aBefore, const CellState& aAfter, std::uint64_t aRound)
{
  aBefore.mNextOffset = aAfter.mNextOffset;
  aBefore.mSeenIds = aAfter.mSeenIds;
  require(
    aBefore == aAfter, "record was not applied, but changed the state", aRound);
}

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  RecordGenerator generator(mutator);
  CellState state;
  ConfigState config;
  StreamLoader<CellState> replica;
  std::uint64_t applied = 0;
  std::uint64_t corrupt = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    const LogRecord record{ round, {}, mutator.mutate(generator.next(state)) };
    const bool decodes = checkDecode(record.mData, round);
    const CellState before = state;
    const FoldVerdict verdict = fold(state, record);
    require(decodes == (verdict != FoldVerdict::Corrupt),
            "verdict disagrees with decoding",
            round);
    require(state.mNextOffset == round + 1, "offset did not advance", round);
    if (verdict != FoldVerdict::Applied) {
      checkUnchanged(before, state, round);
    }
    checkState(state, round);
    fold(config, record);
    replica.add({ &record, 1 });
    require(replica.state() == state, "replicas differ", round);
    applied += verdict == FoldVerdict::Applied ? 1 : 0;
    corrupt += verdict == FoldVerdict::Corrupt ? 1 : 0;
    if (round % kSnapshotRounds == 0) {
      CellState copy;
      Bytes bytes = encodeState(state);
      require(decodeState(bytes, copy).has_value(), "snapshot", round);
      require(copy == state, "snapshot differs", round);
      decodeState(mutator.mutate(std::move(bytes)), copy);
    }
  }
  std::printf("rounds %llu, applied %llu, corrupt %llu\n",
              static_cast<unsigned long long>(arguments.mRounds),
              static_cast<unsigned long long>(applied),
              static_cast<unsigned long long>(corrupt));
  return 0;
}

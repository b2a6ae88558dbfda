#include "radishroad/state/snapshot_codec.h"

#include "radishroad/generated/snapshot_generated.h"

#include <utility>

namespace radishroad {

namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 1000000;

Bytes
pack(const wire::SnapshotT& aSnapshot)
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishSnapshotBuffer(builder,
                             wire::Snapshot::Pack(builder, &aSnapshot));
  const std::uint8_t* begin = builder.GetBufferPointer();
  return { begin, begin + builder.GetSize() };
}

Result<std::unique_ptr<wire::SnapshotT>>
unpack(std::span<const std::uint8_t> aBytes)
{
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifySnapshotBuffer(verifier)) {
    return fail(ErrorCode::Corrupt,
                "bytes are not a valid FlatBuffers snapshot");
  }
  const wire::Snapshot* root = wire::GetSnapshot(aBytes.data());
  if (root->body() == nullptr) {
    return fail(ErrorCode::Corrupt, "snapshot has no body");
  }
  return std::unique_ptr<wire::SnapshotT>(root->UnPack());
}

std::vector<wire::SeenId>
packIds(const RecentIds& aIds)
{
  std::vector<wire::SeenId> packed;
  packed.reserve(aIds.size());
  for (const RandomId& id : aIds.inOrder()) {
    packed.emplace_back(id.mHigh, id.mLow);
  }
  return packed;
}

/// Returns false if an id occurs twice or there are too many ids.
bool
unpackIds(std::span<const wire::SeenId> aPacked, RecentIds& aIds)
{
  for (const wire::SeenId& id : aPacked) {
    if (!aIds.add({ id.high(), id.low() })) {
      return false;
    }
  }
  return aPacked.size() <= RecentIds::kCapacity;
}

std::unique_ptr<wire::MemberEntryT>
packMember(const Member& aMember)
{
  std::unique_ptr<wire::MemberEntryT> entry =
    std::make_unique<wire::MemberEntryT>();
  entry->incarnation = aMember.mIncarnation;
  entry->vm = aMember.mVm;
  entry->zone = aMember.mZone;
  entry->peer_address = aMember.mPeerAddress;
  entry->caller_address = aMember.mCallerAddress;
  entry->operator_address = aMember.mOperatorAddress;
  entry->witnesses = aMember.mWitnesses;
  entry->witness_version = aMember.mWitnessVersion;
  entry->status = static_cast<std::uint8_t>(aMember.mStatus);
  entry->join_offset = aMember.mJoinOffset;
  entry->end_offset = aMember.mEndOffset;
  entry->leaving = aMember.mLeaving;
  entry->superseded = aMember.mSuperseded;
  entry->upstream_down = aMember.mUpstreamDown;
  entry->upstream_life = aMember.mUpstreamIncarnation;
  entry->upstream_version = aMember.mVersion;
  return entry;
}

Member
unpackMember(wire::MemberEntryT& aEntry)
{
  Member member;
  member.mIncarnation = aEntry.incarnation;
  member.mVm = std::move(aEntry.vm);
  member.mZone = std::move(aEntry.zone);
  member.mPeerAddress = std::move(aEntry.peer_address);
  member.mCallerAddress = std::move(aEntry.caller_address);
  member.mOperatorAddress = std::move(aEntry.operator_address);
  member.mWitnesses = std::move(aEntry.witnesses);
  member.mWitnessVersion = aEntry.witness_version;
  member.mStatus = static_cast<MemberStatus>(aEntry.status);
  member.mJoinOffset = aEntry.join_offset;
  member.mEndOffset = aEntry.end_offset;
  member.mLeaving = aEntry.leaving;
  member.mSuperseded = aEntry.superseded;
  member.mUpstreamDown = aEntry.upstream_down;
  member.mUpstreamIncarnation = aEntry.upstream_life;
  member.mVersion = std::move(aEntry.upstream_version);
  return member;
}

bool
unpackMembers(wire::CellSnapshotT& aPacked, CellState& aState)
{
  for (const std::unique_ptr<wire::MemberEntryT>& entry : aPacked.members) {
    if (entry->status > static_cast<std::uint8_t>(MemberStatus::Expelled)) {
      return false;
    }
    aState.mMembers.emplace(entry->incarnation, unpackMember(*entry));
  }
  return aState.mMembers.size() == aPacked.members.size();
}

bool
unpackOwnership(const wire::CellSnapshotT& aPacked, CellState& aState)
{
  if (aPacked.shards.size() != kShardCount) {
    return false;
  }
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    const wire::OwnershipEntry& entry = aPacked.shards[shard];
    aState.mShards[shard] = { entry.owner(), entry.epoch() };
  }
  for (const wire::SplitKeyEntry& entry : aPacked.split_keys) {
    if (entry.shard() != shardOf(entry.key_hash())) {
      return false;
    }
    const Ownership ownership{ entry.owner(), entry.epoch() };
    aState.mSplitKeys[entry.key_hash()] = { entry.shard(), ownership };
  }
  return true;
}

std::unique_ptr<wire::RolloutEntryT>
packRollout(const Rollout& aRollout)
{
  if (aRollout.mStep == 0) {
    return nullptr;
  }
  const RolloutProgress& progress = aRollout.mProgress;
  std::unique_ptr<wire::RolloutEntryT> entry =
    std::make_unique<wire::RolloutEntryT>();
  entry->step = aRollout.mStep;
  entry->to = aRollout.mTo;
  entry->order_id = progress.mOrderId;
  entry->state = static_cast<std::uint8_t>(progress.mState);
  entry->share_permille = progress.mSharePermille;
  entry->started_ms = progress.mStartedAt.mCount;
  entry->requests = progress.mRequests;
  entry->exposed = progress.mExposed;
  entry->bad = progress.mBad;
  return entry;
}

/// Returns false if the entry is invalid. Snapshots of earlier versions have
/// none.
bool
unpackRollout(const wire::RolloutEntryT* aEntry, Rollout& aRollout)
{
  if (aEntry == nullptr) {
    return true;
  }
  if (aEntry->state > static_cast<std::uint8_t>(RolloutState::RolledBack) ||
      aEntry->share_permille > kFullSharePermille) {
    return false;
  }
  aRollout.mStep = aEntry->step;
  aRollout.mTo = aEntry->to;
  aRollout.mProgress = { aEntry->order_id,
                         static_cast<RolloutState>(aEntry->state),
                         aEntry->share_permille,
                         Millis{ aEntry->started_ms },
                         aEntry->requests,
                         aEntry->exposed,
                         aEntry->bad };
  return true;
}

wire::CellSnapshotT
packCell(const CellState& aState)
{
  wire::CellSnapshotT packed;
  for (const auto& [incarnation, member] : aState.mMembers) {
    packed.members.push_back(packMember(member));
  }
  for (const Ownership& shard : aState.mShards) {
    packed.shards.emplace_back(shard.mOwner, shard.mEpoch);
  }
  for (const auto& [key, split] : aState.mSplitKeys) {
    const Ownership& ownership = split.mOwnership;
    packed.split_keys.emplace_back(
      key, split.mShard, ownership.mOwner, ownership.mEpoch);
  }
  packed.drained_vms = { aState.mDrainedVms.begin(), aState.mDrainedVms.end() };
  packed.drained_zones = { aState.mDrainedZones.begin(),
                           aState.mDrainedZones.end() };
  packed.zones_version = aState.mZonesVersion;
  packed.run_keys = aState.mRunKeys;
  packed.store_generation = aState.mStoreGeneration;
  packed.rollout = packRollout(aState.mRollout);
  return packed;
}

}

Bytes
encodeState(const CellState& aState)
{
  wire::SnapshotT snapshot;
  snapshot.next_offset = aState.mNextOffset;
  snapshot.seen_ids = packIds(aState.mSeenIds);
  snapshot.body.Set(packCell(aState));
  return pack(snapshot);
}

Bytes
encodeState(const ConfigState& aState)
{
  wire::ConfigSnapshotT packed;
  packed.version = aState.mVersion;
  packed.operator_name = aState.mOperator;
  for (const ConfigText& file : aState.mFiles) {
    packed.files.push_back(std::make_unique<wire::ConfigFileT>());
    packed.files.back()->name = file.mName;
    packed.files.back()->text = file.mText;
  }
  wire::SnapshotT snapshot;
  snapshot.next_offset = aState.mNextOffset;
  snapshot.seen_ids = packIds(aState.mSeenIds);
  snapshot.body.Set(std::move(packed));
  return pack(snapshot);
}

Result<void>
decodeState(std::span<const std::uint8_t> aBytes, CellState& aState)
{
  Result<std::unique_ptr<wire::SnapshotT>> snapshot = unpack(aBytes);
  if (!snapshot) {
    return tl::unexpected<Error>(snapshot.error());
  }
  wire::CellSnapshotT* packed = (*snapshot)->body.AsCellSnapshot();
  CellState state;
  if (packed == nullptr || !unpackMembers(*packed, state) ||
      !unpackOwnership(*packed, state) ||
      !unpackRollout(packed->rollout.get(), state.mRollout) ||
      !unpackIds((*snapshot)->seen_ids, state.mSeenIds)) {
    return fail(ErrorCode::Corrupt, "not a valid cell snapshot");
  }
  state.mNextOffset = (*snapshot)->next_offset;
  state.mDrainedVms = { packed->drained_vms.begin(),
                        packed->drained_vms.end() };
  state.mDrainedZones = { packed->drained_zones.begin(),
                          packed->drained_zones.end() };
  state.mZonesVersion = packed->zones_version;
  if (!isValidRunLength(packed->run_keys)) {
    return fail(ErrorCode::Corrupt,
                "cell snapshot has an invalid run_keys value");
  }
  state.mRunKeys = packed->run_keys;
  state.mStoreGeneration = packed->store_generation;
  aState = std::move(state);
  return {};
}

Result<void>
decodeState(std::span<const std::uint8_t> aBytes, ConfigState& aState)
{
  Result<std::unique_ptr<wire::SnapshotT>> snapshot = unpack(aBytes);
  if (!snapshot) {
    return tl::unexpected<Error>(snapshot.error());
  }
  wire::ConfigSnapshotT* packed = (*snapshot)->body.AsConfigSnapshot();
  ConfigState state;
  if (packed == nullptr || !unpackIds((*snapshot)->seen_ids, state.mSeenIds)) {
    return fail(ErrorCode::Corrupt, "not a valid configuration snapshot");
  }
  state.mNextOffset = (*snapshot)->next_offset;
  state.mVersion = packed->version;
  state.mOperator = std::move(packed->operator_name);
  for (const std::unique_ptr<wire::ConfigFileT>& file : packed->files) {
    state.mFiles.push_back({ std::move(file->name), std::move(file->text) });
  }
  aState = std::move(state);
  return {};
}

}

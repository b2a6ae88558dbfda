#ifndef RADISHROAD_STATE_CELL_STATE_H
#define RADISHROAD_STATE_CELL_STATE_H

#include "radishroad/policy/rollout_progress.h"
#include "radishroad/state/recent_ids.h"

#include <bit>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Identifies one run of a daemon process; unique across all runs of all
/// daemons. 0 means no daemon.
using Incarnation = std::uint64_t;
/// Index of a shard within its cell.
using Shard = std::uint32_t;
/// Version of a shard's ownership; increases with each change of owner.
using Epoch = std::uint64_t;

/// Number of shards that the keys of a service are hashed to.
constexpr Shard kShardCount = 256;
/// Number of consecutive keys that map to the same shard, until the first
/// assignment sets another value.
constexpr std::uint32_t kDefaultRunKeys = 32;
constexpr std::uint32_t kMinRunKeys = 8;
constexpr std::uint32_t kMaxRunKeys = 256;

/// True if aKeys is an allowed number of consecutive keys per shard: a power of
/// two within the limits.
constexpr bool
isValidRunLength(std::uint32_t aKeys)
{
  return aKeys >= kMinRunKeys && aKeys <= kMaxRunKeys &&
         std::has_single_bit(aKeys);
}

enum class MemberStatus
{
  Active,
  Left,
  Expelled,
};

/// Returns "active", "left" or "expelled".
std::string_view
memberStatusName(MemberStatus aStatus);

/// A daemon as described by the records of its cell.
struct Member
{
  Incarnation mIncarnation = 0;
  std::string mVm;
  std::string mZone;
  std::string mPeerAddress;
  std::string mCallerAddress;
  std::string mOperatorAddress;
  std::vector<Incarnation> mWitnesses;
  std::uint32_t mWitnessVersion = 0;
  MemberStatus mStatus = MemberStatus::Active;
  /// Active, but no longer eligible to receive shards or keys.
  bool mLeaving = false;
  std::uint64_t mJoinOffset = 0;
  /// Offset of the record by which the member left or was expelled; 0 while it
  /// is active.
  std::uint64_t mEndOffset = 0;
  /// A newer incarnation has joined from the same VM, so this one has most
  /// likely terminated. It keeps what it owns until it is expelled, but
  /// receives nothing more.
  bool mSuperseded = false;
  /// Its upstream currently accepts no requests. The member stays active and
  /// can still act as coordinator and witness.
  bool mUpstreamDown = false;
  /// Incarnation of its upstream process; 0 if unknown.
  std::uint64_t mUpstreamIncarnation = 0;
  /// Software version of its upstream; empty if unknown.
  std::string mVersion;

  bool operator==(const Member&) const = default;
};

struct Ownership
{
  Incarnation mOwner = 0;
  Epoch mEpoch = 0;

  bool operator==(const Ownership&) const = default;
};

/// A key that was split out of its shard and has its own owner.
struct SplitOwnership
{
  Shard mShard = 0;
  Ownership mOwnership;

  bool operator==(const SplitOwnership&) const = default;
};

/// The service's last rollout.
struct Rollout
{
  /// Number of the last step; 0 before the first.
  std::uint64_t mStep = 0;
  /// Version that the traffic moves to.
  std::string mTo;
  RolloutProgress mProgress;

  bool operator==(const Rollout&) const = default;
};

/// State of one cell, computed only from the records of its stream.
struct CellState
{
  /// Offset of the next record to apply.
  std::uint64_t mNextOffset = 0;
  std::map<Incarnation, Member> mMembers;
  std::vector<Ownership> mShards = std::vector<Ownership>(kShardCount);
  std::map<std::uint64_t, SplitOwnership> mSplitKeys;
  /// VMs that an operator has taken out of service.
  std::set<std::string> mDrainedVms;
  /// Availability zones that configuration version mZonesVersion takes out of
  /// service.
  std::set<std::string> mDrainedZones;
  std::uint64_t mZonesVersion = 0;
  /// Number of consecutive keys that map to the same shard, where keys are
  /// numbers (KeyLayout).
  std::uint32_t mRunKeys = kDefaultRunKeys;
  RecentIds mSeenIds;
  /// Generation of the store (StoredState) in which the state was last written.
  /// A stored state of an earlier generation comes from a copy.
  std::uint64_t mStoreGeneration = 0;
  Rollout mRollout;

  bool operator==(const CellState&) const = default;
};

/// The shard that a key hash maps to; the same mapping for all services.
Shard
shardOf(std::uint64_t aKeyHash);

/// The owner of a key: the split key's own owner if there is one, otherwise the
/// owner of the shard.
Ownership
ownerOf(const CellState& aState, std::uint64_t aKeyHash);

/// The member that proposes ownership changes and snapshots: the active,
/// not superseded member that joined first; 0 if there is none. Proposals carry
/// preconditions, so a daemon that wrongly considers itself the coordinator
/// cannot corrupt the state.
Incarnation
coordinatorOf(const CellState& aState);

/// The members that can act as coordinator, the present one first.
std::vector<Incarnation>
coordinatorSuccession(const CellState& aState);

}

#endif

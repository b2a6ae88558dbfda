#ifndef RADISHROAD_STATE_CELL_STATE_H
#define RADISHROAD_STATE_CELL_STATE_H

#include "radishroad/state/recent_ids.h"

#include <bit>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// A daemon's start, unique among all starts of all daemons. 0 is nobody.
using Incarnation = std::uint64_t;
/// Number of a shard in its cell.
using Shard = std::uint32_t;
/// Rises by one with each change of a shard's owner.
using Epoch = std::uint64_t;

/// Keys of a service hash onto this many shards.
constexpr Shard kShardCount = 256;
/// Keys in a row of one shard until a first assignment says otherwise.
constexpr std::uint32_t kDefaultRunKeys = 32;
constexpr std::uint32_t kMinRunKeys = 8;
constexpr std::uint32_t kMaxRunKeys = 256;

/// May so many keys in a row belong to one shard?
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

/// "active", "left" or "expelled".
std::string_view
memberStatusName(MemberStatus aStatus);

/// A daemon as the cell's records describe it.
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
  /// Still active, but to be given nothing more.
  bool mLeaving = false;
  std::uint64_t mJoinOffset = 0;
  /// Offset of the record by which it left or was expelled; 0 while active.
  std::uint64_t mEndOffset = 0;
  /// A newer incarnation of its VM has joined, so that it is most likely lost:
  /// it keeps what it owns until it is expelled, but is given nothing more.
  bool mSuperseded = false;
  /// Its upstream takes no work just now; it keeps its place and its duties.
  bool mUpstreamDown = false;
  /// Names a start of its upstream; 0 if not known.
  std::uint64_t mUpstreamLife = 0;

  bool operator==(const Member&) const = default;
};

struct Ownership
{
  Incarnation mOwner = 0;
  Epoch mEpoch = 0;

  bool operator==(const Ownership&) const = default;
};

/// A key with an owner of its own, split out of its shard.
struct SplitOwnership
{
  Shard mShard = 0;
  Ownership mOwnership;

  bool operator==(const SplitOwnership&) const = default;
};

/// State of one cell: a pure function of its stream's records.
struct CellState
{
  /// Offset of the next record to fold.
  std::uint64_t mNextOffset = 0;
  std::map<Incarnation, Member> mMembers;
  std::vector<Ownership> mShards = std::vector<Ownership>(kShardCount);
  std::map<std::uint64_t, SplitOwnership> mSplitKeys;
  /// VMs that an operator takes out of service.
  std::set<std::string> mDrainedVms;
  /// Availability zones out of service, by this version of the configuration.
  std::set<std::string> mDrainedZones;
  std::uint64_t mZonesVersion = 0;
  /// Keys in a row of one shard, where keys are numbers (KeyLayout).
  std::uint32_t mRunKeys = kDefaultRunKeys;
  RecentIds mSeenIds;

  bool operator==(const CellState&) const = default;
};

/// Shard of a key of any service.
Shard
shardOf(std::uint64_t aKeyHash);

/// Owner of a key: that of its split, else that of its shard.
Ownership
ownerOf(const CellState& aState, std::uint64_t aKeyHash);

/// The member that proposes the cell's moves and snapshots: the active member
/// that joined first, but for superseded ones. 0 if there is none. Proposals
/// carry preconditions, so a daemon that believes itself coordinator wrongly
/// does no harm.
Incarnation
coordinatorOf(const CellState& aState);

}

#endif

#include "radishroad/state/cell_state.h"

#include <algorithm>

namespace radishroad {

std::string_view
memberStatusName(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Active:
      return "active";
    case MemberStatus::Left:
      return "left";
    case MemberStatus::Expelled:
      return "expelled";
  }
  return "unknown";
}

Shard
shardOf(std::uint64_t aKeyHash)
{
  return static_cast<Shard>(aKeyHash % kShardCount);
}

Ownership
ownerOf(const CellState& aState, std::uint64_t aKeyHash)
{
  const auto it = aState.mSplitKeys.find(aKeyHash);
  if (it != aState.mSplitKeys.end()) {
    return it->second.mOwnership;
  }
  return aState.mShards[shardOf(aKeyHash)];
}

Incarnation
coordinatorOf(const CellState& aState)
{
  const Member* first = nullptr;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (member.mStatus != MemberStatus::Active || member.mSuperseded) {
      continue;
    }
    if (first == nullptr || member.mJoinOffset < first->mJoinOffset) {
      first = &member;
    }
  }
  return first == nullptr ? 0 : first->mIncarnation;
}

std::vector<Incarnation>
coordinatorSuccession(const CellState& aState)
{
  std::vector<const Member*> members;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (member.mStatus == MemberStatus::Active && !member.mSuperseded) {
      members.push_back(&member);
    }
  }
  std::ranges::sort(members, {}, &Member::mJoinOffset);
  std::vector<Incarnation> succession;
  succession.reserve(members.size());
  for (const Member* member : members) {
    succession.push_back(member->mIncarnation);
  }
  return succession;
}

}

#include "radishroad/state/placement.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/owner_selector.h"

#include <algorithm>
#include <tuple>

namespace radishroad {

namespace {

struct Candidate
{
  bool mSameZone = false;
  std::uint64_t mHash = 0;
  Incarnation mIncarnation = 0;
};

bool
isBetterWitness(const Candidate& aLeft, const Candidate& aRight)
{
  return std::tie(aLeft.mSameZone, aLeft.mHash, aLeft.mIncarnation) <
         std::tie(aRight.mSameZone, aRight.mHash, aRight.mIncarnation);
}

}

bool
isEligibleOwner(const CellState& aState, Incarnation aIncarnation)
{
  const auto it = aState.mMembers.find(aIncarnation);
  if (it == aState.mMembers.end()) {
    return false;
  }
  const Member& member = it->second;
  return member.mStatus == MemberStatus::Active && !member.mLeaving &&
         !member.mSuperseded && !member.mUpstreamDown &&
         !aState.mDrainedVms.contains(member.mVm) &&
         !aState.mDrainedZones.contains(member.mZone);
}

bool
ownsAny(const CellState& aState, Incarnation aIncarnation)
{
  const bool shard =
    std::ranges::any_of(aState.mShards, [&](const Ownership& aShard) {
      return aShard.mOwner == aIncarnation;
    });
  return shard ||
         std::ranges::any_of(aState.mSplitKeys, [&](const auto& aEntry) {
           return aEntry.second.mOwnership.mOwner == aIncarnation;
         });
}

Incarnation
selectNewOwner(const CellState& aState, Shard aShard, Incarnation aFrom)
{
  return OwnerSelector(aState).select(aShard, aFrom);
}

std::vector<Incarnation>
chooseWitnesses(std::span<const Member> aCandidates,
                Incarnation aIncarnation,
                std::string_view aZone,
                std::size_t aCount)
{
  std::vector<Candidate> ranked;
  for (const Member& member : aCandidates) {
    if (member.mIncarnation == aIncarnation ||
        member.mStatus != MemberStatus::Active || member.mSuperseded) {
      continue;
    }
    ranked.push_back({ member.mZone == aZone,
                       hashPair(aIncarnation, member.mIncarnation),
                       member.mIncarnation });
  }
  const std::ptrdiff_t n =
    static_cast<std::ptrdiff_t>(std::min(aCount, ranked.size()));
  std::partial_sort(
    ranked.begin(), ranked.begin() + n, ranked.end(), isBetterWitness);
  std::vector<Incarnation> chosen;
  for (const Candidate& candidate : std::span(ranked).first(n)) {
    chosen.push_back(candidate.mIncarnation);
  }
  return chosen;
}

}

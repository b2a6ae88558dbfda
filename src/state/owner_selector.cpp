#include "radishroad/state/owner_selector.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/placement.h"

namespace radishroad {

namespace {

void
countOwner(std::map<Incarnation, std::uint32_t>& aCounts, Incarnation aOwner)
{
  const auto it = aCounts.find(aOwner);
  if (it != aCounts.end()) {
    ++it->second;
  }
}

}

OwnerSelector::OwnerSelector(const CellState& aState)
{
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (isEligibleOwner(aState, incarnation)) {
      mCounts.emplace(incarnation, 0);
    }
  }
  for (const Ownership& shard : aState.mShards) {
    countOwner(mCounts, shard.mOwner);
  }
  for (const auto& [key, split] : aState.mSplitKeys) {
    countOwner(mCounts, split.mOwnership.mOwner);
  }
}

Incarnation
OwnerSelector::select(Shard aShard, Incarnation aFrom)
{
  auto best = mCounts.end();
  std::uint64_t bestHash = 0;
  for (auto it = mCounts.begin(); it != mCounts.end(); ++it) {
    if (it->first == aFrom) {
      continue;
    }
    const std::uint64_t hash = hashPair(aShard, it->first);
    const bool better = best == mCounts.end() || it->second < best->second ||
                        (it->second == best->second && hash > bestHash);
    if (better) {
      best = it;
      bestHash = hash;
    }
  }
  if (best == mCounts.end()) {
    return 0;
  }
  ++best->second;
  return best->first;
}

}

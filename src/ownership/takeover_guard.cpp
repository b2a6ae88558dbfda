#include "radishroad/ownership/takeover_guard.h"

#include <algorithm>

namespace radishroad {

namespace {

template<typename Key>
Millis
waitEnd(const std::map<Key, Millis>& aWaits, Key aKey)
{
  const auto it = aWaits.find(aKey);
  return it == aWaits.end() ? Millis{} : it->second;
}

template<typename Key>
void
extendWait(std::map<Key, Millis>& aWaits, Key aKey, Millis aUntil)
{
  Millis& wait = aWaits[aKey];
  wait = std::max(wait, aUntil);
}

}

void
TakeoverGuard::initialize(const CellState& aState,
                          Millis aNow,
                          Millis aDeadline)
{
  const bool lost =
    std::ranges::any_of(aState.mMembers, [](const auto& aEntry) {
      return aEntry.second.mStatus == MemberStatus::Expelled;
    });
  if (lost) {
    mAllServeFrom = aNow + aDeadline;
  }
}

void
TakeoverGuard::onOwnershipChange(const OwnershipChange& aChange,
                                 Millis aNow,
                                 Millis aDeadline)
{
  const Millis until = aNow + aDeadline;
  if (!aChange.mKeyHash) {
    if (!aChange.mPlanned) {
      extendWait(mShardWaits, aChange.mShard, until);
    }
    return;
  }
  // A newly split key inherits the wait of its shard.
  if (aChange.mNewSplit && mShardWaits.contains(aChange.mShard)) {
    extendWait(mKeyWaits, *aChange.mKeyHash, mShardWaits[aChange.mShard]);
  }
  if (!aChange.mPlanned) {
    extendWait(mKeyWaits, *aChange.mKeyHash, until);
  }
}

void
TakeoverGuard::onStateChange(const CellState& aBefore,
                             const CellState& aAfter,
                             Millis aNow,
                             Millis aDeadline)
{
  for (const OwnershipChange& change : ownershipChanges(aBefore, aAfter)) {
    onOwnershipChange(change, aNow, aDeadline);
  }
}

Millis
TakeoverGuard::serveFrom(Shard aShard) const
{
  return std::max(mAllServeFrom, waitEnd(mShardWaits, aShard));
}

Millis
TakeoverGuard::splitKeyServeFrom(std::uint64_t aKeyHash) const
{
  return std::max(mAllServeFrom, waitEnd(mKeyWaits, aKeyHash));
}

Millis
TakeoverGuard::serveFrom(const CellState& aState, std::uint64_t aKeyHash) const
{
  const Millis key = splitKeyServeFrom(aKeyHash);
  return aState.mSplitKeys.contains(aKeyHash)
           ? key
           : std::max(key, serveFrom(shardOf(aKeyHash)));
}

void
TakeoverGuard::prune(Millis aNow)
{
  const auto ended = [aNow](const auto& aEntry) {
    return aEntry.second <= aNow;
  };
  std::erase_if(mShardWaits, ended);
  std::erase_if(mKeyWaits, ended);
}

}

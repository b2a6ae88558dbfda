#include "radishroad/ownership/takeover_guard.h"

#include <algorithm>

namespace radishroad {

namespace {

template<typename Key>
Millis
waitOf(const std::map<Key, Millis>& aWaits, Key aKey)
{
  const auto it = aWaits.find(aKey);
  return it == aWaits.end() ? Millis{} : it->second;
}

template<typename Key>
void
extend(std::map<Key, Millis>& aWaits, Key aKey, Millis aUntil)
{
  Millis& wait = aWaits[aKey];
  wait = std::max(wait, aUntil);
}

}

void
TakeoverGuard::begin(const CellState& aState, Millis aNow, Millis aDeadline)
{
  const bool lost =
    std::ranges::any_of(aState.mMembers, [](const auto& aEntry) {
      return aEntry.second.mStatus == MemberStatus::Expelled;
    });
  if (lost) {
    mStart = aNow + aDeadline;
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
      extend(mShards, aChange.mShard, until);
    }
    return;
  }
  // A key leaves its shard with the wait that the shard is under.
  if (aChange.mNewSplit && mShards.contains(aChange.mShard)) {
    extend(mKeys, *aChange.mKeyHash, mShards[aChange.mShard]);
  }
  if (!aChange.mPlanned) {
    extend(mKeys, *aChange.mKeyHash, until);
  }
}

void
TakeoverGuard::onStates(const CellState& aBefore,
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
  return std::max(mStart, waitOf(mShards, aShard));
}

Millis
TakeoverGuard::serveFromKey(std::uint64_t aKeyHash) const
{
  return std::max(mStart, waitOf(mKeys, aKeyHash));
}

Millis
TakeoverGuard::serveFrom(const CellState& aState, std::uint64_t aKeyHash) const
{
  const Millis key = serveFromKey(aKeyHash);
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
  std::erase_if(mShards, ended);
  std::erase_if(mKeys, ended);
}

}

#include "radishroad/upstream/load_counter.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Keys counted at once; further ones are left out until the next take.
constexpr std::size_t kMaxCountedKeys = 4096;
constexpr std::size_t kMaxHotKeys = 16;

}

void
LoadCounter::add(Shard aShard, std::uint64_t aKeyHash, Millis aBusy)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ShardCount& shard = mShards[aShard];
  ++shard.mRequests;
  shard.mBusyMs += static_cast<std::uint32_t>(aBusy.mCount);
  const auto it = mKeys.find(aKeyHash);
  if (it != mKeys.end()) {
    ++it->second.mRequests;
  } else if (mKeys.size() < kMaxCountedKeys) {
    mKeys.emplace(aKeyHash, KeyCount{ aShard, 1 });
  }
}

std::vector<wire::ShardLoad>
LoadCounter::take(std::vector<wire::HotKeyT>& aHotKeys)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<wire::ShardLoad> loads;
  for (const auto& [shard, count] : mShards) {
    loads.emplace_back(shard, count.mRequests, count.mBusyMs);
  }
  aHotKeys.clear();
  for (const auto& [key, count] : mKeys) {
    wire::HotKeyT hot;
    hot.key_hash = key;
    hot.shard = count.mShard;
    hot.requests = count.mRequests;
    aHotKeys.push_back(hot);
  }
  const std::size_t n = std::min(kMaxHotKeys, aHotKeys.size());
  std::partial_sort(
    aHotKeys.begin(),
    aHotKeys.begin() + static_cast<std::ptrdiff_t>(n),
    aHotKeys.end(),
    [](const wire::HotKeyT& aLeft, const wire::HotKeyT& aRight) {
      return aLeft.requests > aRight.requests;
    });
  aHotKeys.resize(n);
  mShards.clear();
  mKeys.clear();
  return loads;
}

}

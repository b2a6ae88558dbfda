#include "radishroad/upstream/load_counter.h"

namespace radishroad {

namespace {

constexpr std::size_t kCountedKeys = 256;
constexpr Millis kKeyTimeConstant{ 5000 };

}

LoadCounter::LoadCounter()
  : mKeys(kCountedKeys, kKeyTimeConstant)
{
}

void
LoadCounter::add(Shard aShard,
                 std::uint64_t aKeyHash,
                 Millis aBusy,
                 Millis aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ShardCount& shard = mShards[aShard];
  ++shard.mRequests;
  shard.mBusyMs += static_cast<std::uint32_t>(aBusy.mCount);
  mKeys.add(aKeyHash, aNow);
}

void
LoadCounter::addOffered(Shard aShard, std::uint64_t aKeyHash, Millis aNow)
{
  add(aShard, aKeyHash, Millis{}, aNow);
}

void
LoadCounter::addBusyTime(Shard aShard, Millis aBusy)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mShards[aShard].mBusyMs += static_cast<std::uint32_t>(aBusy.mCount);
}

std::vector<wire::ShardLoad>
LoadCounter::takeShards()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<wire::ShardLoad> loads;
  for (const auto& [shard, count] : mShards) {
    loads.emplace_back(shard, count.mRequests, count.mBusyMs);
  }
  mShards.clear();
  return loads;
}

std::vector<wire::HotKeyT>
LoadCounter::hotKeys(Millis aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<wire::HotKeyT> keys;
  for (const HotKeySketch::Entry& entry : mKeys.entries(aNow)) {
    wire::HotKeyT key;
    key.key_hash = entry.mKeyHash;
    key.shard = shardOf(entry.mKeyHash);
    key.rate = static_cast<float>(entry.mRate);
    keys.push_back(key);
  }
  return keys;
}

}

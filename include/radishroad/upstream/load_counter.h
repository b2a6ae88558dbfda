#ifndef RADISHROAD_UPSTREAM_LOAD_COUNTER_H
#define RADISHROAD_UPSTREAM_LOAD_COUNTER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Counts what ran by shard and by key until it is taken. Any thread.
class LoadCounter
{
public:
  void add(Shard aShard, std::uint64_t aKeyHash, Millis aBusy);
  /// Counts by shard and the keys with most requests; counting starts anew.
  std::vector<wire::ShardLoad> take(std::vector<wire::HotKeyT>& aHotKeys);

private:
  struct ShardCount
  {
    std::uint32_t mRequests = 0;
    std::uint32_t mBusyMs = 0;
  };
  struct KeyCount
  {
    Shard mShard = 0;
    std::uint32_t mRequests = 0;
  };
  std::mutex mMutex;
  std::map<Shard, ShardCount> mShards;
  std::unordered_map<std::uint64_t, KeyCount> mKeys;
};

}

#endif

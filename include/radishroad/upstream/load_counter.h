#ifndef RADISHROAD_UPSTREAM_LOAD_COUNTER_H
#define RADISHROAD_UPSTREAM_LOAD_COUNTER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/policy/hot_key_sketch.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace radishroad {

/// Counts requests and busy time by shard, and estimates the rates of the
/// hottest keys. Thread-safe.
class LoadCounter
{
public:
  LoadCounter();

  /// Counts a request that has run.
  void add(Shard aShard, std::uint64_t aKeyHash, Millis aBusy, Millis aNow);
  /// Counts a request that has arrived, whether or not it will be run.
  void addOffered(Shard aShard, std::uint64_t aKeyHash, Millis aNow);
  /// Adds the run time of a request that addOffered has counted.
  void addBusyTime(Shard aShard, Millis aBusy);
  /// Returns the counts by shard and resets them.
  std::vector<wire::ShardLoad> takeShards();
  /// The tracked keys, the hottest first.
  std::vector<wire::HotKeyT> hotKeys(Millis aNow);

private:
  struct ShardCount
  {
    std::uint32_t mRequests = 0;
    std::uint32_t mBusyMs = 0;
  };
  std::mutex mMutex;
  std::map<Shard, ShardCount> mShards;
  HotKeySketch mKeys;
};

}

#endif

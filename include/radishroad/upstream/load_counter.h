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

/// Counts what ran by shard until it is taken, and estimates the rates of the
/// hottest keys. Any thread.
class LoadCounter
{
public:
  LoadCounter();

  void add(Shard aShard, std::uint64_t aKeyHash, Millis aBusy, Millis aNow);
  /// Counts by shard; counting starts anew.
  /// A request that has come, whether or not it will be run.
  void addOffered(Shard aShard, std::uint64_t aKeyHash, Millis aNow);
  /// Time that a request counted by addOffered has kept the upstream busy.
  void addBusyTime(Shard aShard, Millis aBusy);
  std::vector<wire::ShardLoad> takeShards();
  /// The hottest keys, the hottest first.
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

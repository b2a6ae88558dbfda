#ifndef RADISHROAD_OWNERSHIP_KEY_RANGES_H
#define RADISHROAD_OWNERSHIP_KEY_RANGES_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <vector>

namespace radishroad {

/// Keys that upstreams hold by number run from 0 to kNumberedKeys - 1. Busy
/// keys are close to one another, so that a shard takes short runs of keys far
/// apart: a hot run of keys falls on as many owners as there are.
constexpr std::uint32_t kNumberedKeys = 65536;
/// Keys in a row that belong to one shard. Each run is granted apart, so that
/// shorter runs spread hot keys better and cost more grants.
constexpr std::uint32_t kRunKeys = 32;
constexpr std::uint32_t kRunCount = kNumberedKeys / kRunKeys;
constexpr std::uint32_t kRunsPerShard = kRunCount / kShardCount;

/// Both ends belong to it.
struct KeyRange
{
  std::uint32_t mFirst = 0;
  std::uint32_t mLast = 0;

  bool operator==(const KeyRange&) const = default;
};

/// Stands for a numbered key where keys are told by hash.
constexpr std::uint64_t
hashOfNumber(std::uint32_t aKey)
{
  const std::uint32_t run = aKey / kRunKeys;
  const std::uint64_t inRun = aKey % kRunKeys;
  return inRun * kRunCount + run;
}

constexpr std::uint32_t
numberOfHash(std::uint64_t aHash)
{
  const std::uint64_t run = aHash % kRunCount;
  return static_cast<std::uint32_t>(run * kRunKeys + aHash / kRunCount);
}

constexpr std::uint32_t
runOfHash(std::uint64_t aHash)
{
  return static_cast<std::uint32_t>(aHash % kRunCount);
}

constexpr Shard
shardOfRun(std::uint32_t aRun)
{
  return aRun % kShardCount;
}

constexpr KeyRange
rangeOfRun(std::uint32_t aRun)
{
  return { aRun * kRunKeys, aRun * kRunKeys + kRunKeys - 1 };
}

/// Runs of a shard, in order.
inline std::vector<std::uint32_t>
runsOfShard(Shard aShard)
{
  std::vector<std::uint32_t> runs;
  for (std::uint32_t n = 0; n < kRunsPerShard; ++n) {
    runs.push_back(n * kShardCount + aShard);
  }
  return runs;
}

}

#endif

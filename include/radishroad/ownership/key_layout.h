#ifndef RADISHROAD_OWNERSHIP_KEY_LAYOUT_H
#define RADISHROAD_OWNERSHIP_KEY_LAYOUT_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <vector>

namespace radishroad {

/// Number of the keys that upstreams hold by number: 0 to kNumberedKeys - 1.
constexpr std::uint32_t kNumberedKeys = 65536;

/// An inclusive range of numbered keys.
struct KeyRange
{
  std::uint32_t mFirst = 0;
  std::uint32_t mLast = 0;

  bool operator==(const KeyRange&) const = default;
};

/// Maps numbered keys to shards. A run is a block of consecutive keys that
/// belong to the same shard. Frequently used keys lie close to one another, so
/// each shard consists of short runs that are far apart. That spreads a hot
/// range of keys over as many owners as possible.
class KeyLayout
{
public:
  /// aRunKeys: keys in a run, a power of two. Each run is granted separately,
  /// so shorter runs spread hot keys better but cost more grants.
  constexpr explicit KeyLayout(std::uint32_t aRunKeys = kDefaultRunKeys)
    : mRunKeys(aRunKeys)
  {
  }

  constexpr std::uint32_t runKeys() const { return mRunKeys; }
  constexpr std::uint32_t runCount() const { return kNumberedKeys / mRunKeys; }
  constexpr std::uint32_t runsPerShard() const
  {
    return runCount() / kShardCount;
  }
  /// The hash that represents a numbered key wherever keys are identified by
  /// hash.
  constexpr std::uint64_t hashOfKeyNumber(std::uint32_t aKey) const
  {
    const std::uint64_t inRun = aKey % mRunKeys;
    return inRun * runCount() + aKey / mRunKeys;
  }
  constexpr std::uint32_t keyNumberOfHash(std::uint64_t aHash) const
  {
    return runOfHash(aHash) * mRunKeys +
           static_cast<std::uint32_t>(aHash / runCount());
  }
  constexpr std::uint32_t runOfHash(std::uint64_t aHash) const
  {
    return static_cast<std::uint32_t>(aHash % runCount());
  }
  static constexpr Shard shardOfRun(std::uint32_t aRun)
  {
    return aRun % kShardCount;
  }
  /// Index of a run among the runs of its shard.
  static constexpr std::uint32_t indexInShard(std::uint32_t aRun)
  {
    return aRun / kShardCount;
  }
  constexpr KeyRange rangeOfRun(std::uint32_t aRun) const
  {
    return { aRun * mRunKeys, aRun * mRunKeys + mRunKeys - 1 };
  }
  /// Runs of a shard in ascending order.
  std::vector<std::uint32_t> runsOfShard(Shard aShard) const
  {
    std::vector<std::uint32_t> runs;
    for (std::uint32_t n = aShard; n < runCount(); n += kShardCount) {
      runs.push_back(n);
    }
    return runs;
  }

  bool operator==(const KeyLayout&) const = default;

private:
  std::uint32_t mRunKeys;
};

/// The key layout of a cell, which is fixed by the first assignment of its
/// shards.
inline KeyLayout
layoutOf(const CellState& aCell)
{
  return KeyLayout(aCell.mRunKeys);
}

/// Layout for a cell whose upstreams receive all their grants in one answer of
/// limited size. With fewer members each member owns more runs, so runs must be
/// longer.
KeyLayout
layoutForMembers(std::size_t aMembers);

}

#endif

#ifndef RADISHROAD_OWNERSHIP_KEY_LAYOUT_H
#define RADISHROAD_OWNERSHIP_KEY_LAYOUT_H

#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <vector>

namespace radishroad {

/// Keys that upstreams hold by number run from 0 to kNumberedKeys - 1.
constexpr std::uint32_t kNumberedKeys = 65536;

/// Both ends belong to it.
struct KeyRange
{
  std::uint32_t mFirst = 0;
  std::uint32_t mLast = 0;

  bool operator==(const KeyRange&) const = default;
};

/// Maps numbered keys to shards. Busy keys are close to one another, so that a
/// shard takes short runs of keys far apart: a hot run of keys falls on as many
/// owners as there are.
class KeyLayout
{
public:
  /// Each run is granted apart: shorter runs spread hot keys better and cost
  /// more grants. aRunKeys: keys in a row of one shard, a power of two.
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
  /// Stands for a numbered key where keys are told by hash.
  constexpr std::uint64_t hashOfNumber(std::uint32_t aKey) const
  {
    const std::uint64_t inRun = aKey % mRunKeys;
    return inRun * runCount() + aKey / mRunKeys;
  }
  constexpr std::uint32_t numberOfHash(std::uint64_t aHash) const
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
  /// Place of a run among those of its shard.
  static constexpr std::uint32_t placeOfRun(std::uint32_t aRun)
  {
    return aRun / kShardCount;
  }
  constexpr KeyRange rangeOfRun(std::uint32_t aRun) const
  {
    return { aRun * mRunKeys, aRun * mRunKeys + mRunKeys - 1 };
  }
  /// Runs of a shard, in order.
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

/// Layout of a cell's keys: agreed with the first assignment of its shards.
inline KeyLayout
layoutOf(const CellState& aCell)
{
  return KeyLayout(aCell.mRunKeys);
}

/// Layout for a cell whose upstreams are told all that they hold in one answer
/// of bounded size: with fewer members each has more runs, so that runs are
/// longer.
KeyLayout
layoutForMembers(std::size_t aMembers);

}

#endif

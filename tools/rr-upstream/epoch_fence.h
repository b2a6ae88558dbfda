#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_EPOCH_FENCE_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_EPOCH_FENCE_H

#include <cstdint>
#include <map>

namespace radishroad::tools {

/// Tracks the highest epoch seen for each shard, to reject requests of former
/// owners.
class EpochFence
{
public:
  /// Returns false if a higher epoch has been seen.
  bool admit(std::uint64_t aShard, std::uint64_t aEpoch)
  {
    std::uint64_t& highest = mHighest[aShard];
    if (aEpoch < highest) {
      return false;
    }
    highest = aEpoch;
    return true;
  }

private:
  std::map<std::uint64_t, std::uint64_t> mHighest;
};

}

#endif

#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_FENCE_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_FENCE_H

#include <cstdint>
#include <map>

namespace radishroad::tools {

/// The highest epoch seen for each shard.
class Fence
{
public:
  /// False if a higher epoch has been seen.
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

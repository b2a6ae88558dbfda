#include "radishroad/ownership/key_layout.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Maximum number of runs of one member while all members are present. An
/// answer has room for about twice as many rows, which leaves room for the keys
/// of lost members.
constexpr std::size_t kMaxRunsPerMember = 128;
constexpr std::uint32_t kShortestRun = 16;

}

KeyLayout
layoutForMembers(std::size_t aMembers)
{
  const std::size_t maxRuns =
    std::max<std::size_t>(1, aMembers) * kMaxRunsPerMember;
  std::uint32_t runKeys = kNumberedKeys / kShardCount;
  while (runKeys > kShortestRun && kNumberedKeys / (runKeys / 2) <= maxRuns) {
    runKeys /= 2;
  }
  return KeyLayout(runKeys);
}

}

// Measures how a member with a cold upstream takes work when its zone comes
// back: all at once, so many shards in each step, or as its window allows.
// Usage: zone_return_bench [SEEDS]
#include "../tests/model/zone_return_model.h"

#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

struct Size
{
  const char* mName;
  std::size_t mMembers;
  double mSlots;
  double mServiceMs;
  double mOffered;
};

constexpr Size kSizes[] = { { "guild", 7, 10, 20, 350 },
                            { "topos", 6, 6, 40, 105 } };

struct Pace
{
  const char* mName;
  ZoneReturnModel::Pace mPace;
};

constexpr Pace kPaces[] = { { "at once", ZoneReturnModel::Pace::AtOnce },
                            { "fixed", ZoneReturnModel::Pace::Fixed },
                            { "allowed",
                              ZoneReturnModel::Pace::WithinHeadroom } };

void
measure(const Size& aSize, const Pace& aPace, std::uint64_t aSeeds)
{
  double p99 = 0;
  double halfAt = 0;
  double notRun = 0;
  double offered = 0;
  int falls = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    ZoneReturnModel::Upstream::Options options;
    options.mSeed = seed;
    options.mSlots = aSize.mSlots;
    options.mServiceMs = aSize.mServiceMs;
    options.mOffered = aSize.mOffered;
    const auto result =
      ZoneReturnModel(options, aPace.mPace, aSize.mMembers).run();
    p99 += result.mUpstream.mP99Ms;
    halfAt += static_cast<double>(result.mHalfShareAt.mCount) / 1000;
    notRun += result.mUpstream.mNotRun;
    offered += result.mUpstream.mOffered;
    falls += result.mUpstream.mCrashCount;
  }
  const auto n = static_cast<double>(aSeeds);
  std::printf("%-6s %-8s %6d %8.1f %7.2f%% %8.1f\n",
              aSize.mName,
              aPace.mName,
              falls,
              p99 / n,
              100 * notRun / offered,
              halfAt / n);
}

}

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 20;
  std::printf("%-6s %-8s %6s %8s %8s %8s\n",
              "size",
              "pace",
              "falls",
              "p99 ms",
              "not run",
              "half s");
  for (const Size& size : kSizes) {
    for (const Pace& pace : kPaces) {
      measure(size, pace, seeds);
    }
  }
  return EXIT_SUCCESS;
}

// Measures how a member with a cold upstream takes over work when its zone
// returns: all at once, a fixed number of shards in each step, or as many as
// its window allows.
// Usage: zone_return_bench [SEEDS]
#include "../tests/model/zone_return_model.h"

#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

struct Deployment
{
  const char* mName;
  std::size_t mMembers;
  double mSlots;
  double mServiceMs;
  double mOffered;
};

constexpr Deployment kDeployments[] = { { "guild", 7, 10, 20, 350 },
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
measure(const Deployment& aDeployment, const Pace& aPace, std::uint64_t aSeeds)
{
  double p99 = 0;
  double halfShareAt = 0;
  double notRun = 0;
  double offered = 0;
  int crashCount = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    ZoneReturnModel::Upstream::Options options;
    options.mSeed = seed;
    options.mSlots = aDeployment.mSlots;
    options.mServiceMs = aDeployment.mServiceMs;
    options.mOffered = aDeployment.mOffered;
    const auto result =
      ZoneReturnModel(options, aPace.mPace, aDeployment.mMembers).run();
    p99 += result.mUpstream.mP99Ms;
    halfShareAt += static_cast<double>(result.mHalfShareAt.mCount) / 1000;
    notRun += result.mUpstream.mNotRun;
    offered += result.mUpstream.mOffered;
    crashCount += result.mUpstream.mCrashCount;
  }
  const auto n = static_cast<double>(aSeeds);
  std::printf("%-6s %-8s %6d %8.1f %7.2f%% %8.1f\n",
              aDeployment.mName,
              aPace.mName,
              crashCount,
              p99 / n,
              100 * notRun / offered,
              halfShareAt / n);
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
              "crash",
              "p99 ms",
              "not run",
              "half s");
  for (const Deployment& deployment : kDeployments) {
    for (const Pace& pace : kPaces) {
      measure(deployment, pace, seeds);
    }
  }
  return EXIT_SUCCESS;
}

// Measures imbalance and churn of the balancer against hashing without load.
// Usage: balance_bench [SEEDS]
#include "../tests/model/cell_load.h"

#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

void
measure(const char* aName,
        CellLoad::Options aOptions,
        CellLoad::Policy aPolicy,
        std::uint64_t aSeeds)
{
  CellLoad::Result sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = seed;
    const CellLoad::Result one = CellLoad(aOptions, aPolicy).run();
    sum.mMeanImbalance += one.mMeanImbalance;
    sum.mWorstImbalance = std::max(sum.mWorstImbalance, one.mWorstImbalance);
    sum.mMoves += one.mMoves;
    sum.mSplits += one.mSplits;
    sum.mChurnPerHour += one.mChurnPerHour;
  }
  const double n = static_cast<double>(aSeeds);
  std::printf("%-24s %9.2f %9.2f %8.1f %8.1f %9.2f\n",
              aName,
              sum.mMeanImbalance / n,
              sum.mWorstImbalance,
              sum.mMoves / n,
              sum.mSplits / n,
              sum.mChurnPerHour / n);
}

}

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 10;
  std::printf("%-24s %9s %9s %8s %8s %9s\n",
              "600 s, hot keys by 120 s",
              "mean",
              "worst",
              "moves",
              "splits",
              "churn/h");
  CellLoad::Options guild;
  CellLoad::Options topos;
  topos.mMembers = 6;
  topos.mRequestsPerSecond = 600;
  using Policy = CellLoad::Policy;
  measure("guild static hash", guild, Policy::StaticHash, seeds);
  measure("guild consistent hash", guild, Policy::ConsistentHash, seeds);
  measure("guild balanced", guild, Policy::Balanced, seeds);
  measure("topos static hash", topos, Policy::StaticHash, seeds);
  measure("topos consistent hash", topos, Policy::ConsistentHash, seeds);
  measure("topos balanced", topos, Policy::Balanced, seeds);
  return EXIT_SUCCESS;
}

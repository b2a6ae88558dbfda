// Compares imbalance and churn of the balancer with hashing that ignores load.
// Usage: balance_bench [SEEDS]
#include "../tests/model/cell_load_model.h"

#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

struct NamedLoad
{
  std::string mName;
  CellLoadModel::Options mOptions;
};

void
measure(const std::string& aName,
        CellLoadModel::Options aOptions,
        CellLoadModel::Policy aPolicy,
        std::uint64_t aSeeds)
{
  CellLoadModel::Result sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = seed;
    const CellLoadModel::Result result = CellLoadModel(aOptions, aPolicy).run();
    sum.mMeanImbalance += result.mMeanImbalance;
    sum.mMaxImbalance = std::max(sum.mMaxImbalance, result.mMaxImbalance);
    sum.mMoves += result.mMoves;
    sum.mSplits += result.mSplits;
    sum.mMerges += result.mMerges;
    sum.mMaxSplitKeys = std::max(sum.mMaxSplitKeys, result.mMaxSplitKeys);
    sum.mChurnPerHour += result.mChurnPerHour;
  }
  const double seedCount = static_cast<double>(aSeeds);
  std::printf("%-24s %9.2f %9.2f %8.1f %8.1f %8.1f %8zu %9.2f\n",
              aName.c_str(),
              sum.mMeanImbalance / seedCount,
              sum.mMaxImbalance,
              sum.mMoves / seedCount,
              sum.mSplits / seedCount,
              sum.mMerges / seedCount,
              sum.mMaxSplitKeys,
              sum.mChurnPerHour / seedCount);
}

void
printHeader(const char* aTrace)
{
  std::printf("%-24s %9s %9s %8s %8s %8s %8s %9s\n",
              aTrace,
              "mean",
              "worst",
              "moves",
              "splits",
              "merges",
              "most",
              "churn/h");
}

}

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 10;
  using Policy = CellLoadModel::Policy;
  printHeader("600 s, all by 120 s");
  CellLoadModel::Options guild;
  CellLoadModel::Options topos;
  topos.mMembers = 6;
  topos.mRequestsPerSecond = 600;
  measure("guild static hash", guild, Policy::StaticHash, seeds);
  measure("guild consistent hash", guild, Policy::ConsistentHash, seeds);
  measure("guild shard moves", guild, Policy::ShardMoves, seeds);
  measure("guild balanced", guild, Policy::Balanced, seeds);
  measure("topos static hash", topos, Policy::StaticHash, seeds);
  measure("topos consistent hash", topos, Policy::ConsistentHash, seeds);
  measure("topos shard moves", topos, Policy::ShardMoves, seeds);
  measure("topos balanced", topos, Policy::Balanced, seeds);
  printHeader("600 s, hot keys by 60 s");
  guild.mHotChangeSeconds = topos.mHotChangeSeconds = 60;
  guild.mHotKeys = topos.mHotKeys = 8;
  guild.mHotShare = topos.mHotShare = 0.5;
  CellLoadModel::Options large = guild;
  large.mMembers = 64;
  large.mRequestsPerSecond = 8000;
  large.mHotKeys = 16;
  large.mHotShare = 0.3;
  large.mKeys = 20000;
  large.mZipfExponent = 0.6;
  const std::vector<NamedLoad> loads = { { "guild", guild },
                                         { "topos", topos },
                                         { "64 members", large } };
  for (const auto& [name, options] : loads) {
    measure(name + " static hash", options, Policy::StaticHash, seeds);
    measure(name + " shard moves", options, Policy::ShardMoves, seeds);
    measure(name + " balanced", options, Policy::Balanced, seeds);
  }
  return EXIT_SUCCESS;
}

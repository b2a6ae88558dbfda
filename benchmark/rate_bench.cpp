// Measures workspaces' rates over the fleet: token batches against a static
// split and one central call for each request. Usage: rate_bench [SEEDS]
#include "../tests/model/rate_limit_model.h"
#include "radishroad/policy/static_token_bucket.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

constexpr std::size_t kDaemons = 11;
constexpr Millis kDuration{ 30000 };
/// The bucket starts empty and is given time to fill.
constexpr Millis kWarmUp{ 3000 };
/// One way between daemons, in milliseconds; a central call takes two.
constexpr int kMessagesOfCall = 2;

struct Scenario
{
  const char* mName;
  double mRate;
  double mBurst;
  /// Requests offered a second while on.
  double mOffered;
  /// Demand sits on one daemon for so long; 0 for all daemons evenly.
  std::int64_t mMoveEveryMs;
  int mLossPercent;
  std::int64_t mTakeoverEveryMs;
};

constexpr Scenario kScenarios[] = {
  { "small, spread", 2, 4, 1.6, 0, 0, 0 },
  { "small, moving", 2, 4, 1.6, 2000, 0, 0 },
  { "large, spread", 200, 200, 160, 0, 0, 0 },
  { "large, moving", 200, 200, 160, 1000, 0, 0 },
  { "large, 5% loss", 200, 200, 160, 0, 5, 0 },
  { "large, takeovers", 200, 200, 160, 0, 0, 5000 },
  { "ten times", 200, 200, 2000, 0, 0, 0 },
};

RateLimitModel::Arrivals
arrivalsOf(const Scenario& aScenario)
{
  return
    [aScenario](std::size_t aDaemon, Millis aNow, std::mt19937_64& aRandom) {
      if (aNow < kWarmUp) {
        return 0;
      }
      double perSecond = aScenario.mOffered / kDaemons;
      if (aScenario.mMoveEveryMs > 0) {
        const auto turn =
          static_cast<std::size_t>(aNow.mCount / aScenario.mMoveEveryMs);
        perSecond = turn % kDaemons == aDaemon ? aScenario.mOffered : 0;
      }
      std::poisson_distribution<int> count(perSecond / 1000);
      return perSecond > 0 ? count(aRandom) : 0;
    };
}

struct Sum
{
  double mOffered = 0;
  double mSpent = 0;
  double mMessages = 0;
  double mExcess = -1e9;
  std::vector<std::int64_t> mWaits;
};

void
print(const Scenario& aScenario, const char* aName, Sum& aSum, double aSeeds)
{
  std::ranges::sort(aSum.mWaits);
  const std::size_t rank = aSum.mWaits.size() * 99 / 100;
  const double seconds =
    aSeeds * static_cast<double>((kDuration - kWarmUp).mCount) / 1000;
  std::printf("%-17s %-8s %7.2f%% %9.1f %9.1f %8ld %9.2f\n",
              aScenario.mName,
              aName,
              100 * (aSum.mOffered - aSum.mSpent) / aSum.mOffered,
              aSum.mSpent / seconds,
              aSum.mMessages / seconds,
              aSum.mWaits.empty() ? 0L : aSum.mWaits[rank],
              aSum.mExcess);
}

RateLimitModel::Options
optionsOf(const Scenario& aScenario, std::uint64_t aSeed)
{
  RateLimitModel::Options options;
  options.mSeed = aSeed;
  options.mRate = aScenario.mRate;
  options.mBurst = aScenario.mBurst;
  options.mDaemons = kDaemons;
  options.mDuration = kDuration;
  options.mLossPercent = aScenario.mLossPercent;
  options.mTakeoverEvery = Millis{ aScenario.mTakeoverEveryMs };
  return options;
}

void
measureBatches(const Scenario& aScenario, std::uint64_t aSeeds)
{
  Sum sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const RateLimitModel::Options options = optionsOf(aScenario, seed);
    const RateLimitModel::Result result =
      RateLimitModel(options, arrivalsOf(aScenario)).run();
    sum.mOffered += result.mOffered;
    sum.mSpent += static_cast<double>(result.mSpends.size());
    sum.mMessages += result.mMessages;
    for (const Millis wait : result.mWaits) {
      sum.mWaits.push_back(wait.mCount);
    }
    sum.mExcess = std::max(
      sum.mExcess,
      RateLimitModel::maxExcess(result.mSpends, options.mRate, options.mBurst));
  }
  print(aScenario, "batches", sum, static_cast<double>(aSeeds));
}

/// aParts buckets; one part stands for the central call.
void
measureBuckets(const Scenario& aScenario,
               const char* aName,
               std::uint32_t aParts,
               std::uint64_t aSeeds)
{
  const bool central = aParts == 1;
  const RateLimitModel::Arrivals arrivals = arrivalsOf(aScenario);
  Sum sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<StaticTokenBucket> buckets(
      aParts,
      StaticTokenBucket(
        aScenario.mRate, aScenario.mBurst, aParts, Millis{ 0 }));
    std::vector<Millis> spends;
    for (Millis now; now < kDuration; now += Millis{ 1 }) {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        const int n = arrivals(i, now, random);
        sum.mOffered += n;
        sum.mMessages += central ? n * kMessagesOfCall : 0;
        for (int k = 0; k < n; ++k) {
          if (buckets[i % aParts].take(now)) {
            spends.push_back(now);
            sum.mWaits.push_back(central ? kMessagesOfCall : 0);
          }
        }
      }
    }
    sum.mSpent += static_cast<double>(spends.size());
    sum.mExcess = std::max(
      sum.mExcess,
      RateLimitModel::maxExcess(spends, aScenario.mRate, aScenario.mBurst));
  }
  print(aScenario, aName, sum, static_cast<double>(aSeeds));
}

}

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 10;
  std::printf("%-17s %-8s %8s %9s %9s %8s %9s\n",
              "scenario",
              "limiter",
              "refused",
              "served/s",
              "msgs/s",
              "p99 wait",
              "excess");
  for (const Scenario& scenario : kScenarios) {
    measureBatches(scenario, seeds);
    measureBuckets(scenario, "split", kDaemons, seeds);
    measureBuckets(scenario, "central", 1, seeds);
  }
  return EXIT_SUCCESS;
}

// Measures workspace rate limits across the fleet: token batches compared with
// a static split and with one central call for each request.
// Usage: rate_bench [SEEDS]
#include "../tests/model/rate_limit_model.h"
#include "radishroad/policy/static_token_bucket.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace radishroad;

namespace {

constexpr std::size_t kDaemonCount = 11;
constexpr Millis kDuration{ 30000 };
/// Time for the bucket to fill, since it starts empty.
constexpr Millis kWarmUp{ 3000 };
/// A central call takes two messages. A message between daemons takes one
/// millisecond, so this is also the wait for the call in milliseconds.
constexpr int kMessagesPerCall = 2;

struct Scenario
{
  const char* mName;
  double mRate;
  double mBurst;
  /// Requests offered per second while there is demand.
  double mOffered;
  /// How long all demand stays on one daemon before it moves to the next; 0
  /// spreads it evenly over the daemons.
  std::int64_t mDemandMoveIntervalMs;
  int mLossPercent;
  std::int64_t mTakeoverIntervalMs;
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
  return [aScenario](
           std::size_t aDaemon, Millis aNow, std::mt19937_64& aRandom) {
    if (aNow < kWarmUp) {
      return 0;
    }
    double perSecond = aScenario.mOffered / kDaemonCount;
    if (aScenario.mDemandMoveIntervalMs > 0) {
      const auto turn =
        static_cast<std::size_t>(aNow.mCount / aScenario.mDemandMoveIntervalMs);
      perSecond = turn % kDaemonCount == aDaemon ? aScenario.mOffered : 0;
    }
    std::poisson_distribution<int> count(perSecond / 1000);
    return perSecond > 0 ? count(aRandom) : 0;
  };
}

struct Totals
{
  double mOffered = 0;
  double mSpent = 0;
  double mMessages = 0;
  double mExcess = -1e9;
  std::vector<std::int64_t> mWaits;
};

void
printRow(const Scenario& aScenario,
         const char* aName,
         Totals& aTotals,
         double aSeeds)
{
  std::ranges::sort(aTotals.mWaits);
  const std::size_t rank = aTotals.mWaits.size() * 99 / 100;
  const double seconds =
    aSeeds * static_cast<double>((kDuration - kWarmUp).mCount) / 1000;
  std::printf("%-17s %-8s %7.2f%% %9.1f %9.1f %8ld %9.2f\n",
              aScenario.mName,
              aName,
              100 * (aTotals.mOffered - aTotals.mSpent) / aTotals.mOffered,
              aTotals.mSpent / seconds,
              aTotals.mMessages / seconds,
              aTotals.mWaits.empty() ? 0L : aTotals.mWaits[rank],
              aTotals.mExcess);
}

RateLimitModel::Options
optionsOf(const Scenario& aScenario, std::uint64_t aSeed)
{
  RateLimitModel::Options options;
  options.mSeed = aSeed;
  options.mRate = aScenario.mRate;
  options.mBurst = aScenario.mBurst;
  options.mDaemons = kDaemonCount;
  options.mDuration = kDuration;
  options.mLossPercent = aScenario.mLossPercent;
  options.mTakeoverEvery = Millis{ aScenario.mTakeoverIntervalMs };
  return options;
}

void
measureBatches(const Scenario& aScenario, std::uint64_t aSeeds)
{
  Totals totals;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const RateLimitModel::Options options = optionsOf(aScenario, seed);
    const RateLimitModel::Result result =
      RateLimitModel(options, arrivalsOf(aScenario)).run();
    totals.mOffered += result.mOffered;
    totals.mSpent += static_cast<double>(result.mSpends.size());
    totals.mMessages += result.mMessages;
    for (const Millis wait : result.mWaits) {
      totals.mWaits.push_back(wait.mCount);
    }
    totals.mExcess = std::max(
      totals.mExcess,
      RateLimitModel::maxExcess(result.mSpends, options.mRate, options.mBurst));
  }
  printRow(aScenario, "batches", totals, static_cast<double>(aSeeds));
}

/// Measures aParts static buckets; a single bucket models the central call.
void
measureBuckets(const Scenario& aScenario,
               const char* aName,
               std::uint32_t aParts,
               std::uint64_t aSeeds)
{
  const bool central = aParts == 1;
  const RateLimitModel::Arrivals arrivals = arrivalsOf(aScenario);
  Totals totals;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<StaticTokenBucket> buckets(
      aParts,
      StaticTokenBucket(
        aScenario.mRate, aScenario.mBurst, aParts, Millis{ 0 }));
    std::vector<Millis> spends;
    for (Millis now; now < kDuration; now += Millis{ 1 }) {
      for (std::size_t i = 0; i < kDaemonCount; ++i) {
        const int n = arrivals(i, now, random);
        totals.mOffered += n;
        totals.mMessages += central ? n * kMessagesPerCall : 0;
        for (int k = 0; k < n; ++k) {
          if (buckets[i % aParts].take(now)) {
            spends.push_back(now);
            totals.mWaits.push_back(central ? kMessagesPerCall : 0);
          }
        }
      }
    }
    totals.mSpent += static_cast<double>(spends.size());
    totals.mExcess = std::max(
      totals.mExcess,
      RateLimitModel::maxExcess(spends, aScenario.mRate, aScenario.mBurst));
  }
  printRow(aScenario, aName, totals, static_cast<double>(aSeeds));
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
    measureBuckets(scenario, "split", kDaemonCount, seeds);
    measureBuckets(scenario, "central", 1, seeds);
  }
  return EXIT_SUCCESS;
}

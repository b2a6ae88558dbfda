// Compares the concurrency window with a fixed limit and with no limit on a
// model of an upstream.
// Usage: window_bench [SEEDS [FIRST_SEED]]
#include "../tests/model/upstream_model.h"
#include "radishroad/policy/concurrency_window.h"
#include "radishroad/policy/fixed_limit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace radishroad;

namespace {

struct Scenario
{
  const char* mName;
  double mSlots;
  double mServiceMs;
  double mOffered;
  std::int64_t mTurnsColdAt;
  std::int64_t mSlowFromSecond;
  std::int64_t mSlowUntilSecond;
  double mSlowFactor;
  std::int64_t mLatencyFrom = 0;
};

/// The two deployments at about seven tenths of their slots.
constexpr Scenario kScenarios[] = {
  { "guild fresh", 10, 20, 350, 0, 0, 0, 1 },
  { "guild turns cold", 10, 20, 350, 20000, 0, 0, 1 },
  { "guild slow moment", 10, 20, 350, 0, 20000, 20500, 5 },
  { "guild steady", 10, 20, 350, 0, 0, 0, 1, 25000 },
  { "topos steady", 6, 40, 105, 0, 0, 0, 1, 25000 },
  { "topos fresh", 6, 40, 105, 0, 0, 0, 1 },
  { "topos turns cold", 6, 40, 105, 20000, 0, 0, 1 },
  { "topos slow moment", 6, 40, 105, 0, 20000, 20500, 5 },
};

double
median(std::vector<double> aValues)
{
  std::ranges::sort(aValues);
  return aValues[aValues.size() / 2];
}

template<typename Window>
void
measure(const Scenario& aScenario,
        const char* aName,
        const Window& aWindow,
        std::uint64_t aFirst,
        std::uint64_t aSeeds)
{
  std::vector<double> fullAt;
  std::vector<double> p99;
  double down = 0;
  double lost = 0;
  double notRun = 0;
  double offered = 0;
  int crashCount = 0;
  for (std::uint64_t seed = aFirst; seed < aFirst + aSeeds; ++seed) {
    typename UpstreamModel<Window>::Options options;
    options.mSeed = seed;
    options.mSlots = aScenario.mSlots;
    options.mServiceMs = aScenario.mServiceMs;
    options.mOffered = aScenario.mOffered;
    options.mTurnsColdAt = Millis{ aScenario.mTurnsColdAt };
    options.mSlowFromSecond = Millis{ aScenario.mSlowFromSecond };
    options.mSlowUntilSecond = Millis{ aScenario.mSlowUntilSecond };
    options.mSlowFactor = aScenario.mSlowFactor;
    options.mLatencyFrom = Millis{ aScenario.mLatencyFrom };
    const auto result = UpstreamModel<Window>(options, aWindow).run();
    fullAt.push_back(static_cast<double>(result.mFullRateAt.mCount) / 1000);
    p99.push_back(result.mP99Ms);
    down += static_cast<double>(result.mDownTime.mCount) / 1000;
    lost += result.mLost;
    notRun += result.mNotRun;
    offered += result.mOffered;
    crashCount += result.mCrashCount;
  }
  std::printf("%-18s %-8s %6d %8.1f %8.1f %8.1f %8.1f %7.2f%% %7.2f%%\n",
              aScenario.mName,
              aName,
              crashCount,
              median(fullAt),
              median(p99),
              *std::ranges::max_element(p99),
              down / static_cast<double>(aSeeds),
              100 * notRun / offered,
              100 * lost / offered);
}

}

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seeds =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 20;
  const std::uint64_t first =
    aCount > 2 ? std::strtoull(aArguments[2], nullptr, 10) : 1;
  std::printf("%-18s %-8s %6s %8s %8s %8s %8s %8s %8s\n",
              "scenario",
              "gate",
              "crash",
              "full s",
              "p99 ms",
              "worst",
              "down s",
              "not run",
              "lost");
  constexpr std::uint32_t kMaxLimit = 64;
  constexpr std::uint32_t kNoLimit = 100000;
  for (const Scenario& scenario : kScenarios) {
    const auto slots = static_cast<std::uint32_t>(scenario.mSlots);
    measure(scenario, "window", ConcurrencyWindow(kMaxLimit), first, seeds);
    measure(scenario, "fixed", FixedLimit(slots), first, seeds);
    measure(scenario, "none", FixedLimit(kNoLimit), first, seeds);
  }
  return EXIT_SUCCESS;
}

// Measures the sketch of hot keys: the cost of an arrival, and the error of
// the rates of keys with at least a hundredth of the requests.
// Usage: hot_key_bench [ARRIVALS]
#include "radishroad/base/hash.h"
#include "radishroad/policy/hot_key_sketch.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

using namespace radishroad;

namespace {

constexpr Millis kTimeConstant{ 5000 };
constexpr double kRequestsPerMs = 4.1;
constexpr double kMeasuredShare = 0.01;

struct Arrivals
{
  std::vector<std::uint64_t> mKeys;
  /// Shares of the hottest keys, in descending order.
  std::vector<double> mShares;
};

Arrivals
drawArrivals(std::size_t aCount, std::size_t aKeys, double aZipf)
{
  std::mt19937_64 random(1);
  std::vector<double> weights(aKeys);
  double sum = 0;
  for (std::size_t i = 0; i < aKeys; ++i) {
    weights[i] = 1 / std::pow(static_cast<double>(i + 1), aZipf);
    sum += weights[i];
  }
  Arrivals arrivals;
  for (std::size_t i = 0; weights[i] >= kMeasuredShare * sum; ++i) {
    arrivals.mShares.push_back(weights[i] / sum);
  }
  std::discrete_distribution<std::uint64_t> draw(weights.begin(),
                                                 weights.end());
  for (std::size_t i = 0; i < aCount; ++i) {
    arrivals.mKeys.push_back(hashPair(7, draw(random)));
  }
  return arrivals;
}

double
worstError(const std::vector<HotKeySketch::Entry>& aEntries,
           const Arrivals& aArrivals)
{
  double worst = 0;
  for (std::size_t i = 0; i < aArrivals.mShares.size(); ++i) {
    const double rate = aArrivals.mShares[i] * kRequestsPerMs * 1000;
    const auto it = std::ranges::find(
      aEntries, hashPair(7, i), &HotKeySketch::Entry::mKeyHash);
    const double estimate = it == aEntries.end() ? 0 : it->mRate;
    worst = std::max(worst, std::abs(estimate - rate) / rate);
  }
  return worst;
}

void
measure(std::size_t aCapacity, const Arrivals& aArrivals, double aZipf)
{
  HotKeySketch sketch(aCapacity, kTimeConstant);
  const auto start = std::chrono::steady_clock::now();
  Millis now;
  for (std::size_t i = 0; i < aArrivals.mKeys.size(); ++i) {
    now = Millis{ static_cast<std::int64_t>(static_cast<double>(i) /
                                            kRequestsPerMs) };
    sketch.add(aArrivals.mKeys[i], now);
  }
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - start;
  std::printf("%8zu %6.1f %12.0f %16.1f\n",
              aCapacity,
              aZipf,
              elapsed.count() / static_cast<double>(aArrivals.mKeys.size()),
              100 * worstError(sketch.entries(now), aArrivals));
}

}

int
main(int aCount, char** aArguments)
{
  const std::size_t count =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 200000;
  std::printf("%8s %6s %8s %12s %16s\n",
              "entries",
              "zipf",
              "judged",
              "ns/arrival",
              "worst error %");
  for (const double zipf : { 0.8, 0.9, 1.0, 1.1 }) {
    const Arrivals arrivals = drawArrivals(count, 150000, zipf);
    for (const std::size_t capacity : { 64U, 256U, 1024U }) {
      measure(capacity, arrivals, zipf);
    }
  }
  return EXIT_SUCCESS;
}

#include "radishroad/base/metrics.h"

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <unordered_map>

namespace radishroad {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kCounterShards = 16;
constexpr std::size_t kCacheLineBytes = 64;
/// Quantiles are computed over the last full window of this many samples, or
/// over the first window until it is full.
constexpr std::size_t kWindowSamples = 2048;
/// Caching the upper half of a window makes quantiles from 0.5 upward exact.
constexpr std::size_t kTailSamples = kWindowSamples / 2 + 1;
constexpr std::array<double, 3> kQuantiles{ 0.5, 0.99, 0.999 };
constexpr double kMillisPerSecond = 1000;

using Window =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::max,
                                  acc::tag::tail_quantile<acc::right>>>;
using Quantiles = std::array<double, kQuantiles.size()>;

struct NameHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aName) const noexcept
  {
    return std::hash<std::string_view>{}(aName);
  }
};

template<typename Value>
using NameMap =
  std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

template<typename Value, typename... Args>
Value&
findOrAdd(NameMap<Value>& aMap, std::string_view aName, Args&&... aArgs)
{
  const auto it = aMap.find(aName);
  if (it != aMap.end()) {
    return it->second;
  }
  return aMap.try_emplace(std::string(aName), std::forward<Args>(aArgs)...)
    .first->second;
}

Window
makeWindow()
{
  return Window(acc::tag::tail<acc::right>::cache_size = kTailSamples);
}

Quantiles
quantilesOf(const Window& aWindow)
{
  Quantiles values{};
  if (acc::count(aWindow) <= 1) {
    // tail_quantile needs at least two samples.
    values.fill(acc::max(aWindow));
    return values;
  }
  for (std::size_t it = 0; it < kQuantiles.size(); ++it) {
    values[it] =
      acc::quantile(aWindow, acc::quantile_probability = kQuantiles[it]);
  }
  return values;
}

/// Samples of one summary, in milliseconds.
struct Summary
{
  Window mWindow = makeWindow();
  bool mHasFullWindow = false;
  Quantiles mLastWindowQuantiles{};
  std::uint64_t mCount = 0;
  double mSum = 0;

  void add(double aValue)
  {
    mWindow(aValue);
    ++mCount;
    mSum += aValue;
    if (acc::count(mWindow) < kWindowSamples) {
      return;
    }
    mLastWindowQuantiles = quantilesOf(mWindow);
    mHasFullWindow = true;
    mWindow = makeWindow();
  }

  Quantiles quantiles() const
  {
    return mHasFullWindow ? mLastWindowQuantiles : quantilesOf(mWindow);
  }
};

/// Counters are sharded by thread to reduce lock contention.
struct alignas(kCacheLineBytes) CounterShard
{
  mutable std::mutex mMutex;
  NameMap<std::uint64_t> mCounters;
};

std::size_t
shardOfThread()
{
  static std::atomic<std::size_t> sNextThread{ 0 };
  thread_local const std::size_t tShard =
    sNextThread.fetch_add(1) % kCounterShards;
  return tShard;
}

std::string_view
baseName(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

/// Returns the labels without braces; empty if there are none.
std::string_view
labelsOf(std::string_view aName)
{
  const std::size_t open = aName.find('{');
  if (open == std::string_view::npos || !aName.ends_with('}')) {
    return {};
  }
  return aName.substr(open + 1, aName.size() - open - 2);
}

void
writeType(std::ostream& aOut,
          std::string& aLastBase,
          std::string_view aName,
          const char* aType)
{
  if (aLastBase != baseName(aName)) {
    aLastBase = baseName(aName);
    aOut << "# TYPE " << aLastBase << ' ' << aType << '\n';
  }
}

template<typename Value>
void
writeValues(std::ostream& aOut,
            const std::map<std::string, Value>& aValues,
            const char* aType)
{
  std::string lastBase;
  for (const auto& [name, value] : aValues) {
    writeType(aOut, lastBase, name, aType);
    aOut << name << ' ' << value << '\n';
  }
}

void
writeSummary(std::ostream& aOut,
             const std::string& aName,
             const Summary& aSummary)
{
  const std::string_view base = baseName(aName);
  const std::string labels(labelsOf(aName));
  const std::string separator = labels.empty() ? "" : ",";
  const std::string braced = labels.empty() ? "" : "{" + labels + "}";
  const Quantiles values = aSummary.quantiles();
  for (std::size_t it = 0; it < kQuantiles.size(); ++it) {
    aOut << base << '{' << labels << separator << "quantile=\""
         << kQuantiles[it] << "\"} " << values[it] / kMillisPerSecond << '\n';
  }
  aOut << base << "_sum" << braced << ' ' << aSummary.mSum / kMillisPerSecond
       << '\n';
  aOut << base << "_count" << braced << ' ' << aSummary.mCount << '\n';
}

}

struct Metrics::Impl
{
  std::array<CounterShard, kCounterShards> mShards;
  mutable std::mutex mGaugesMutex;
  std::map<std::string, double, std::less<>> mGauges;
  mutable std::mutex mSummariesMutex;
  NameMap<Summary> mSummaries;

  std::map<std::string, std::uint64_t> sumCounters() const
  {
    std::map<std::string, std::uint64_t> sums;
    for (const CounterShard& shard : mShards) {
      std::lock_guard<std::mutex> lock(shard.mMutex);
      for (const auto& [name, value] : shard.mCounters) {
        sums[name] += value;
      }
    }
    return sums;
  }

  std::map<std::string, double> copyGauges() const
  {
    std::lock_guard<std::mutex> lock(mGaugesMutex);
    return { mGauges.begin(), mGauges.end() };
  }

  std::map<std::string, Summary> copySummaries() const
  {
    std::lock_guard<std::mutex> lock(mSummariesMutex);
    return { mSummaries.begin(), mSummaries.end() };
  }
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::count(std::string_view aName, std::uint64_t aIncrement)
{
  CounterShard& shard = mImpl->mShards[shardOfThread()];
  std::lock_guard<std::mutex> lock(shard.mMutex);
  findOrAdd(shard.mCounters, aName, std::uint64_t{ 0 }) += aIncrement;
}

void
Metrics::gauge(std::string_view aName, double aValue)
{
  std::lock_guard<std::mutex> lock(mImpl->mGaugesMutex);
  const auto it = mImpl->mGauges.find(aName);
  if (it != mImpl->mGauges.end()) {
    it->second = aValue;
    return;
  }
  mImpl->mGauges.emplace(aName, aValue);
}

void
Metrics::observe(std::string_view aName, Millis aTime)
{
  std::lock_guard<std::mutex> lock(mImpl->mSummariesMutex);
  findOrAdd(mImpl->mSummaries, aName).add(static_cast<double>(aTime.mCount));
}

std::uint64_t
Metrics::counter(std::string_view aName) const
{
  std::uint64_t sum = 0;
  for (const CounterShard& shard : mImpl->mShards) {
    std::lock_guard<std::mutex> lock(shard.mMutex);
    const auto it = shard.mCounters.find(aName);
    sum += it == shard.mCounters.end() ? 0 : it->second;
  }
  return sum;
}

std::string
Metrics::toPrometheus() const
{
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::digits10);
  writeValues(out, mImpl->sumCounters(), "counter");
  writeValues(out, mImpl->copyGauges(), "gauge");
  std::string lastBase;
  for (const auto& [name, summary] : mImpl->copySummaries()) {
    writeType(out, lastBase, name, "summary");
    writeSummary(out, name, summary);
  }
  return out.str();
}

}

#include "radishroad/policy/hot_key_report.h"
#include "radishroad/policy/hot_key_sketch.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr Millis kTimeConstant{ 5000 };
constexpr std::size_t kCapacity = 64;

std::map<std::uint64_t, HotKeySketch::Entry>
byKey(const HotKeySketch& aSketch, Millis aNow)
{
  std::map<std::uint64_t, HotKeySketch::Entry> all;
  for (const HotKeySketch::Entry& entry : aSketch.entries(aNow)) {
    all[entry.mKeyHash] = entry;
  }
  return all;
}

}

BOOST_AUTO_TEST_SUITE(hot_key_sketch)

BOOST_AUTO_TEST_CASE(steady_rate_is_estimated_and_decays)
{
  HotKeySketch sketch(kCapacity, kTimeConstant);
  for (int ms = 0; ms < 40000; ms += 10) {
    sketch.add(1, Millis{ ms });
  }
  const double rate = byKey(sketch, 40_s).at(1).mRate;
  BOOST_TEST(std::abs(rate - 100) < 2);
  const double later = byKey(sketch, 45_s).at(1).mRate;
  BOOST_TEST(std::abs(later - rate / std::exp(1)) < 1);
}

BOOST_AUTO_TEST_CASE(bounds_hold_against_exact_counts)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    HotKeySketch sketch(kCapacity, kTimeConstant);
    std::map<std::uint64_t, double> exact;
    double total = 0;
    Millis now;
    const auto growth = [&now] {
      return std::exp(static_cast<double>(now.mCount) /
                      static_cast<double>(kTimeConstant.mCount));
    };
    for (int i = 0; i < 20000; ++i) {
      now = now + Millis{ static_cast<std::int64_t>(random() % 5) };
      // Half of the requests are for 16 keys, the others for 100000.
      const std::uint64_t key =
        random() % 2 == 0 ? random() % 16 : 16 + random() % 100000;
      exact[key] += growth();
      total += growth();
      sketch.add(key, now);
    }
    const double toRate = 1 / (5 * growth());
    const auto held = byKey(sketch, now);
    BOOST_TEST(held.size() == kCapacity);
    const double bound = total * toRate / kCapacity;
    for (const auto& [key, entry] : held) {
      const double rate = exact.contains(key) ? exact[key] * toRate : 0;
      BOOST_TEST(entry.mRate <= rate + 1e-3, "seed " << seed);
      BOOST_TEST(entry.mRate + entry.mError >= rate - 1e-3, "seed " << seed);
      BOOST_TEST(entry.mError <= bound + 1e-3, "seed " << seed);
    }
    for (const auto& [key, weight] : exact) {
      const bool hot = weight * toRate > bound;
      BOOST_TEST((!hot || held.contains(key)), "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(rates_stay_accurate_over_a_long_time)
{
  HotKeySketch sketch(2, kTimeConstant);
  for (int s = 0; s < 1000; ++s) {
    for (int n = 0; n < 10; ++n) {
      sketch.add(7, Millis{ s * 1000 + n * 100 });
    }
  }
  BOOST_TEST(std::abs(byKey(sketch, 1000_s).at(7).mRate - 10) < 0.5);
}

BOOST_AUTO_TEST_CASE(empty_sketch_has_no_entries)
{
  BOOST_TEST(HotKeySketch(kCapacity, kTimeConstant).entries(1_s).empty());
}

BOOST_AUTO_TEST_CASE(report_carries_the_top_and_own_split_keys)
{
  CellState state;
  state.mSplitKeys[19] = { 19, { 5, 2 } };
  state.mSplitKeys[18] = { 18, { 6, 2 } };
  std::vector<wire::HotKeyT> counted(20);
  for (std::uint64_t i = 0; i < counted.size(); ++i) {
    counted[i].key_hash = i;
  }
  const std::vector<wire::HotKeyT> selected = selectHotKeys(counted, state, 5);
  BOOST_REQUIRE(selected.size() == 9U);
  BOOST_TEST(selected[7].key_hash == 7U);
  BOOST_TEST(selected[8].key_hash == 19U);
}

BOOST_AUTO_TEST_SUITE_END()

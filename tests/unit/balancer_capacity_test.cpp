#include "radishroad/policy/balancer.h"

#include "cell_log.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr std::size_t kMembers = 7;
/// Capacities in requests a second; the upstreams differ threefold in speed.
constexpr std::array<double, kMembers> kCapacities{
  45, 90, 90, 135, 45, 90, 90
};
/// 85% of the total capacity.
constexpr double kOffered = 500;

/// A cell whose upstreams report their capacity, with equal shares at first.
class Cell
{
public:
  Cell(Balancer::Options aOptions, std::uint64_t aSeed)
    : mBalancer(aOptions)
    , mRandom(aSeed)
  {
    for (Incarnation n = 1; n <= kMembers; ++n) {
      mLog.join(n, "z");
    }
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      mLog.assign(shard, 0, 1 + shard % kMembers);
    }
  }

  void slowDown(std::size_t aMember, double aFactor)
  {
    mSlowness.at(aMember) = aFactor;
  }

  /// Simulates half a second of load and one round of moves.
  void step()
  {
    mNow += 500_ms;
    if (mNow.mCount % 1000 == 0) {
      report();
    }
    const auto acceptAnyMember = [](Incarnation) { return true; };
    for (const wire::ShardGrant& move :
         mBalancer.planMoves(mLog.mState, acceptAnyMember, mNow)) {
      mLog.release(mLog.mState.mShards[move.shard()].mOwner, { move });
      ++mMoves;
    }
  }

  double capacity(std::size_t aMember) const
  {
    return kCapacities.at(aMember) / mSlowness.at(aMember);
  }

  /// Utilization of the most utilized upstream; 1 is its capacity.
  double maxUtilization() const
  {
    double highest = 0;
    for (std::size_t n = 0; n < kMembers; ++n) {
      highest = std::max(highest, rateOf(n) / capacity(n));
    }
    return highest;
  }

  int moves() const { return mMoves; }

private:
  double rateOf(std::size_t aMember) const
  {
    const auto count =
      std::ranges::count(mLog.mState.mShards, aMember + 1, &Ownership::mOwner);
    return kOffered * static_cast<double>(count) / kShardCount;
  }

  void report()
  {
    std::uniform_real_distribution<double> noise(0.85, 1.15);
    std::poisson_distribution<std::uint32_t> requests(kOffered / kShardCount);
    for (std::size_t n = 0; n < kMembers; ++n) {
      wire::LoadReportT report;
      report.incarnation = n + 1;
      report.capacity = static_cast<float>(capacity(n) * noise(mRandom));
      for (Shard shard = 0; shard < kShardCount; ++shard) {
        if (mLog.mState.mShards[shard].mOwner == n + 1) {
          report.shards.emplace_back(shard, requests(mRandom), 0);
        }
      }
      mBalancer.onReport(report, mLog.mState, mNow);
    }
  }

  CellLog mLog;
  Balancer mBalancer;
  std::mt19937_64 mRandom;
  std::array<double, kMembers> mSlowness{ 1, 1, 1, 1, 1, 1, 1 };
  Millis mNow;
  int mMoves = 0;
};

double
maxUtilizationAfterSteps(Balancer::Options aOptions,
                         std::uint64_t aSeed,
                         bool aWithSlowMember)
{
  Cell cell(aOptions, aSeed);
  for (int n = 0; n < 12; ++n) {
    cell.step();
  }
  if (aWithSlowMember) {
    cell.slowDown(3, 4);
    for (int n = 0; n < 8; ++n) {
      cell.step();
    }
  }
  BOOST_TEST(cell.moves() < 250);
  return cell.maxUtilization();
}

}

BOOST_AUTO_TEST_SUITE(balancer_capacity)

BOOST_AUTO_TEST_CASE(unequal_upstreams_reach_equal_utilization_within_seconds)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const double byCapacity =
      maxUtilizationAfterSteps(Balancer::capacityBasedOptions(), seed, false);
    const double byDefault = maxUtilizationAfterSteps({}, seed, false);
    BOOST_TEST(byCapacity < 1.1, "seed " << seed << ": " << byCapacity);
    BOOST_TEST(byDefault > 1.4, "seed " << seed << ": " << byDefault);
  }
}

BOOST_AUTO_TEST_CASE(slowed_upstream_is_relieved_within_four_seconds)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    // With the slowed upstream the load is 92% of the total capacity.
    const double byCapacity =
      maxUtilizationAfterSteps(Balancer::capacityBasedOptions(), seed, true);
    const double byDefault = maxUtilizationAfterSteps({}, seed, true);
    BOOST_TEST(byCapacity < 1.4, "seed " << seed << ": " << byCapacity);
    BOOST_TEST(byCapacity < byDefault / 1.5,
               "seed " << seed << ": " << byDefault);
  }
}

BOOST_AUTO_TEST_CASE(lightly_loaded_upstreams_are_not_rebalanced)
{
  Balancer balancer(Balancer::capacityBasedOptions());
  CellLog log;
  log.join(1, "z");
  log.join(2, "z");
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    log.assign(shard, 0, shard < 100 ? 1 : 2);
  }
  for (Millis now = 1000_ms; now < 20000_ms; now += 1000_ms) {
    for (Incarnation member = 1; member <= 2; ++member) {
      wire::LoadReportT report;
      report.incarnation = member;
      report.capacity = 1000;
      report.shards.emplace_back(member == 1 ? 0 : 200, 50, 0);
      balancer.onReport(report, log.mState, now);
    }
    BOOST_TEST(balancer
                 .planMoves(
                   log.mState, [](Incarnation) { return true; }, now)
                 .empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

#ifndef RADISHROAD_TESTS_ZONE_RETURN_H
#define RADISHROAD_TESTS_ZONE_RETURN_H

#include "radishroad/ownership/handoff.h"
#include "radishroad/policy/balancer.h"
#include "radishroad/policy/concurrency_window.h"
#include "upstream_model.h"

#include <cmath>
#include <utility>

namespace radishroad {

/// Model of a cell in which one member comes back without shards and with a
/// cold upstream. Shards are moved to it every 500 ms.
class ZoneReturnModel
{
public:
  using Upstream = UpstreamModel<ConcurrencyWindow>;

  enum class Pace
  {
    /// The member's even share at once.
    AtOnce,
    /// A fixed number of shards in each step.
    Fixed,
    /// As many as its concurrency window allows, but no more than Fixed.
    WithinHeadroom,
  };

  struct Result
  {
    Upstream::Result mUpstream;
    std::size_t mShards = 0;
    /// When the member had half of its even share.
    Millis mHalfShareAt;
  };

  ZoneReturnModel(Upstream::Options aOptions, Pace aPace, std::size_t aMembers)
    : mOptions(std::move(aOptions))
    , mPace(aPace)
    , mMembers(aMembers)
    , mShardRate(mOptions.mOffered * static_cast<double>(aMembers) /
                 static_cast<double>(kShardCount))
  {
    for (Incarnation id = 1; id <= aMembers; ++id) {
      mState.mMembers[id].mIncarnation = id;
    }
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      mState.mShards[shard] = { 1 + shard % (aMembers - 1), 5 };
    }
    constexpr std::int64_t kSecondsBefore = 60;
    for (std::int64_t i = 1; i <= kSecondsBefore; ++i) {
      mStart = Millis{ i * 1000 };
      for (Incarnation id = 1; id < aMembers; ++id) {
        report(id, kWarmWindow, mStart);
      }
    }
  }

  Result run()
  {
    constexpr std::int64_t kStep = 500;
    mOptions.mOfferedAt = [this](Millis aNow, double aWindow) {
      if (aNow.mCount % (2 * kStep) == 0) {
        report(mMembers, aWindow, mStart + aNow);
      }
      if (aNow.mCount % kStep == 0) {
        move(aNow);
      }
      return static_cast<double>(mResult.mShards) * mShardRate;
    };
    mResult.mUpstream = Upstream(mOptions, ConcurrencyWindow(kMaxWindow)).run();
    return mResult;
  }

private:
  static constexpr double kWarmWindow = 12;
  static constexpr std::uint32_t kMaxWindow = 64;
  static constexpr std::size_t kStepShards = 16;

  void report(Incarnation aMember, double aWindow, Millis aNow)
  {
    wire::LoadReportT report;
    report.incarnation = aMember;
    report.window = static_cast<float>(aWindow);
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      if (mState.mShards[shard].mOwner == aMember) {
        const auto n = static_cast<std::uint32_t>(std::ceil(mShardRate));
        const auto ms = static_cast<std::uint32_t>(n * mOptions.mServiceMs);
        report.shards.emplace_back(shard, n, ms);
      }
    }
    mBalancer.onReport(report, mState, aNow);
  }

  void move(Millis aNow)
  {
    const bool byHeadroom = mPace == Pace::WithinHeadroom;
    InFlightHeadroom headroom = mBalancer.headroom(mState);
    const auto tryReserve = [&](Shard aShard, Incarnation aMember) {
      return !byHeadroom || headroom.tryReserve(
                              aMember, mBalancer.inFlightAt(aShard, aMember));
    };
    const std::size_t maxMoves =
      mPace == Pace::AtOnce ? kShardCount : kStepShards;
    for (const auto& grant : planRebalance(mState, maxMoves, {}, tryReserve)) {
      mState.mShards[grant.shard()] = { grant.to(), grant.base_epoch() + 1 };
      ++mResult.mShards;
    }
    const std::size_t half = kShardCount / mMembers / 2;
    if (mResult.mShards >= half && mResult.mHalfShareAt.mCount == 0) {
      mResult.mHalfShareAt = aNow;
    }
  }

  Upstream::Options mOptions;
  Pace mPace;
  Incarnation mMembers;
  double mShardRate;
  CellState mState;
  Balancer mBalancer;
  Millis mStart;
  Result mResult;
};

}

#endif

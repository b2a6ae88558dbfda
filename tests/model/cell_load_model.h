#ifndef RADISHROAD_TESTS_CELL_LOAD_H
#define RADISHROAD_TESTS_CELL_LOAD_H

#include "radishroad/base/hash.h"
#include "radishroad/policy/balancer.h"
#include "radishroad/policy/hot_key_report.h"
#include "radishroad/policy/hot_key_sketch.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace radishroad {

/// Model of a cell's load in steps of a second: keys with Zipf popularity, the
/// hottest of which change from time to time, and upstreams that report what
/// they served.
class CellLoadModel
{
public:
  enum class Policy
  {
    /// Shard number modulo the number of members.
    StaticHash,
    /// Rendezvous hash, which ignores load.
    ConsistentHash,
    /// Balancer that moves whole shards only.
    ShardMoves,
    Balanced,
  };

  struct Options
  {
    std::uint64_t mSeed = 1;
    std::size_t mMembers = 7;
    std::size_t mKeys = 4000;
    double mZipfExponent = 0.9;
    double mRequestsPerSecond = 2000;
    int mSeconds = 600;
    /// Seconds between changes of the hottest keys; 0 for none.
    int mHotChangeSeconds = 120;
    /// With hot keys, these get mHotShare of the requests in equal parts and
    /// change, while the popularity of the other keys stays.
    std::size_t mHotKeys = 0;
    double mHotShare = 0;
    /// This member is mSlowFactor times slower in this span of seconds; 0 for
    /// none.
    std::size_t mSlowMember = 0;
    int mSlowFromSecond = 0;
    int mSlowUntilSecond = 0;
    double mSlowFactor = 1;
  };

  struct Result
  {
    double mMeanImbalance = 0;
    double mMaxImbalance = 0;
    int mMoves = 0;
    /// Keys split out or moved, and keys merged back into their shards.
    int mSplits = 0;
    int mMerges = 0;
    std::size_t mMaxSplitKeys = 0;
    std::size_t mSplitKeysAtEnd = 0;
    /// Share of the keys that moves, in an hour.
    double mChurnPerHour = 0;
    /// Requests a second of the slow member at the end.
    double mSlowMemberRate = 0;
  };

  CellLoadModel(Options aOptions, Policy aPolicy)
    : mOptions(aOptions)
    , mPolicy(aPolicy)
    , mRandom(aOptions.mSeed)
    , mKeyRate(aOptions.mKeys)
    , mSketches(aOptions.mMembers, HotKeySketch(256, Millis{ 5000 }))
  {
    for (Incarnation id = 1; id <= mOptions.mMembers; ++id) {
      mState.mMembers[id].mIncarnation = id;
    }
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      mState.mShards[shard] = { firstOwner(shard), 1 };
    }
    drawKeyRates();
    mBaseRate = mKeyRate;
    drawHotKeys();
  }

  Result run()
  {
    Result result;
    for (mSecond = 1; mSecond <= mOptions.mSeconds; ++mSecond) {
      if (mOptions.mHotChangeSeconds > 0 &&
          mSecond % mOptions.mHotChangeSeconds == 0) {
        changePopularity();
      }
      serve();
      const double imbalance = imbalanceNow();
      result.mMeanImbalance += imbalance / mOptions.mSeconds;
      result.mMaxImbalance = std::max(result.mMaxImbalance, imbalance);
      if (mPolicy == Policy::Balanced || mPolicy == Policy::ShardMoves) {
        plan(result);
      }
    }
    const double hours = mOptions.mSeconds / 3600.0;
    const double moved =
      static_cast<double>(result.mMoves) / kShardCount +
      static_cast<double>(result.mSplits + result.mMerges) / mOptions.mKeys;
    result.mChurnPerHour = moved / hours;
    result.mSplitKeysAtEnd = mState.mSplitKeys.size();
    if (mOptions.mSlowMember > 0) {
      result.mSlowMemberRate = mServed[mOptions.mSlowMember - 1];
    }
    return result;
  }

  Balancer& balancer() { return mBalancer; }

private:
  Incarnation firstOwner(Shard aShard) const
  {
    if (mPolicy != Policy::ConsistentHash) {
      return 1 + aShard % mOptions.mMembers;
    }
    Incarnation best = 1;
    for (Incarnation id = 2; id <= mOptions.mMembers; ++id) {
      const bool wins = hashPair(id, aShard) > hashPair(best, aShard);
      best = wins ? id : best;
    }
    return best;
  }

  void drawKeyRates()
  {
    std::vector<std::size_t> rank(mOptions.mKeys);
    for (std::size_t i = 0; i < rank.size(); ++i) {
      rank[i] = i;
    }
    std::ranges::shuffle(rank, mRandom);
    double sum = 0;
    for (std::size_t i = 0; i < rank.size(); ++i) {
      mKeyRate[i] =
        1 / std::pow(static_cast<double>(rank[i] + 1), mOptions.mZipfExponent);
      sum += mKeyRate[i];
    }
    for (double& rate : mKeyRate) {
      rate *= mOptions.mRequestsPerSecond / sum;
    }
  }

  void changePopularity()
  {
    if (mOptions.mHotKeys == 0) {
      drawKeyRates();
    } else {
      drawHotKeys();
    }
  }

  void drawHotKeys()
  {
    if (mOptions.mHotKeys == 0) {
      return;
    }
    mKeyRate = mBaseRate;
    for (double& rate : mKeyRate) {
      rate *= 1 - mOptions.mHotShare;
    }
    for (std::size_t i = 0; i < mOptions.mHotKeys; ++i) {
      mKeyRate[mRandom() % mKeyRate.size()] +=
        mOptions.mRequestsPerSecond * mOptions.mHotShare / mOptions.mHotKeys;
    }
  }

  static std::uint64_t keyHash(std::size_t aKey) { return hashPair(7, aKey); }

  Incarnation ownerOfKey(std::uint64_t aHash) const
  {
    const auto it = mState.mSplitKeys.find(aHash);
    return it != mState.mSplitKeys.end()
             ? it->second.mOwnership.mOwner
             : mState.mShards[aHash % kShardCount].mOwner;
  }

  void serve()
  {
    constexpr double kCostMs = 5;
    mServed.assign(mOptions.mMembers, 0);
    std::vector<std::map<Shard, std::uint32_t>> counts(mOptions.mMembers);
    const Millis now{ mSecond * 1000 };
    std::vector<std::uint64_t> arrivals;
    for (std::size_t key = 0; key < mKeyRate.size(); ++key) {
      std::poisson_distribution<std::uint32_t> draw(mKeyRate[key]);
      const std::uint32_t n = draw(mRandom);
      const std::uint64_t hash = keyHash(key);
      const std::size_t member = ownerOfKey(hash) - 1;
      const Shard shard = hash % kShardCount;
      mServed[member] += n;
      counts[member][shard] += n;
      arrivals.insert(arrivals.end(), n, hash);
    }
    std::ranges::shuffle(arrivals, mRandom);
    for (const std::uint64_t hash : arrivals) {
      mSketches[ownerOfKey(hash) - 1].add(hash, now);
    }
    for (std::size_t i = 0; i < mOptions.mMembers; ++i) {
      const bool slow = i + 1 == mOptions.mSlowMember &&
                        mSecond >= mOptions.mSlowFromSecond &&
                        mSecond < mOptions.mSlowUntilSecond;
      const double cost = kCostMs * (slow ? mOptions.mSlowFactor : 1);
      wire::LoadReportT report;
      report.incarnation = i + 1;
      for (const auto& [shard, n] : counts[i]) {
        report.shards.emplace_back(
          shard, n, static_cast<std::uint32_t>(n * cost));
      }
      for (const wire::HotKeyT& key : hotKeys(i, now)) {
        report.hot_keys.push_back(std::make_unique<wire::HotKeyT>(key));
      }
      mBalancer.onReport(report, mState, now);
    }
  }

  std::vector<wire::HotKeyT> hotKeys(std::size_t aMember, Millis aNow) const
  {
    std::vector<wire::HotKeyT> counted;
    for (const HotKeySketch::Entry& entry : mSketches[aMember].entries(aNow)) {
      counted.emplace_back();
      counted.back().key_hash = entry.mKeyHash;
      counted.back().shard = shardOf(entry.mKeyHash);
      counted.back().rate = static_cast<float>(entry.mRate);
    }
    return selectHotKeys(counted, mState, aMember + 1);
  }

  double imbalanceNow() const
  {
    const double maxServed = *std::ranges::max_element(mServed);
    double sum = 0;
    for (const double served : mServed) {
      sum += served;
    }
    return maxServed * static_cast<double>(mServed.size()) / sum;
  }

  void plan(Result& aResult)
  {
    const auto acceptAnyMember = [](Incarnation) { return true; };
    const Millis now{ mSecond * 1000 };
    if (mPolicy == Policy::Balanced) {
      for (const wire::SplitKeyT& move :
           mBalancer.planKeyMoves(mState, acceptAnyMember, now)) {
        apply(move, aResult);
      }
      aResult.mMaxSplitKeys =
        std::max(aResult.mMaxSplitKeys, mState.mSplitKeys.size());
    }
    for (const wire::ShardGrant& move :
         mBalancer.planMoves(mState, acceptAnyMember, now)) {
      mState.mShards[move.shard()] = { move.to(), move.base_epoch() + 1 };
      ++aResult.mMoves;
    }
  }

  void apply(const wire::SplitKeyT& aMove, Result& aResult)
  {
    if (aMove.to == 0) {
      mState.mSplitKeys.erase(aMove.key_hash);
      ++aResult.mMerges;
      return;
    }
    const Ownership next{ aMove.to, aMove.base_epoch + 1 };
    mState.mSplitKeys[aMove.key_hash] = { aMove.shard, next };
    ++aResult.mSplits;
  }

  Options mOptions;
  Policy mPolicy;
  std::mt19937_64 mRandom;
  std::vector<double> mKeyRate;
  std::vector<double> mBaseRate;
  std::vector<double> mServed;
  CellState mState;
  std::vector<HotKeySketch> mSketches;
  Balancer mBalancer;
  int mSecond = 0;
};

}

#endif

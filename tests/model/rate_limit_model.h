#ifndef RADISHROAD_TESTS_RATE_FLEET_H
#define RADISHROAD_TESTS_RATE_FLEET_H

#include "radishroad/policy/token_cache.h"
#include "radishroad/policy/workspace_bucket.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace radishroad {

/// Model of the daemons that receive one workspace's requests and of the owner
/// of its bucket, in steps of a millisecond. Messages are delayed, lost,
/// duplicated and reordered; clocks drift, daemons freeze and owners change.
class RateLimitModel
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    double mRate = 100;
    double mBurst = 50;
    std::size_t mDaemons = 4;
    Millis mDuration{ 10000 };
    int mLossPercent = 0;
    int mDuplicatePercent = 0;
    Millis mMaxDelay{ 3 };
    /// Probability of a freeze per step and daemon, in parts per million.
    int mFreezePerMillion = 0;
    Millis mMaxFreeze{ 1500 };
    /// Mean time between changes of the owner; 0 for none.
    Millis mTakeoverEvery;
    Millis mMaxOwnerGap{ 300 };
    double mMaxClockDrift = 0;
    Millis mMaxHold{ 500 };
    /// Faulty variant for comparison: a new owner starts with a full bucket.
    bool mFullAtTakeover = false;
  };

  struct Result
  {
    std::vector<Millis> mSpends;
    std::uint32_t mOffered = 0;
    std::uint32_t mRefused = 0;
    std::uint32_t mMessages = 0;
    std::vector<Millis> mWaits;
  };

  /// Number of requests that arrive at a daemon at a time.
  using Arrivals =
    std::function<int(std::size_t aDaemon, Millis aNow, std::mt19937_64&)>;

  RateLimitModel(Options aOptions, Arrivals aArrivals)
    : mOptions(aOptions)
    , mArrivals(std::move(aArrivals))
    , mRandom(aOptions.mSeed)
  {
    for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
      Daemon daemon(i + 1);
      daemon.mClockDrift = mOptions.mMaxClockDrift * (2 * randomUniform() - 1);
      daemon.mClockOffset = Millis{ randomBelow(100000) };
      mDaemons.push_back(std::move(daemon));
    }
    startOwner(Millis{ 0 });
  }

  Result run()
  {
    for (Millis now; now < mOptions.mDuration; now += Millis{ 1 }) {
      changeOwner(now);
      deliver(now);
      for (std::size_t i = 0; i < mDaemons.size(); ++i) {
        stepDaemon(i, now);
      }
    }
    return std::move(mResult);
  }

  /// Returns the maximum over all periods of the tokens spent minus (rate x
  /// period + burst).
  static double maxExcess(const std::vector<Millis>& aSpends,
                          double aRate,
                          double aBurst)
  {
    double worst = -aBurst;
    double least = 0;
    for (std::size_t i = 0; i < aSpends.size(); ++i) {
      const double earned =
        aRate * static_cast<double>(aSpends[i].mCount) / 1000.0;
      const double before = static_cast<double>(i) - earned;
      least = i == 0 ? before : std::min(least, before);
      worst = std::max(worst, before + 1 - least - aBurst);
    }
    return worst;
  }

private:
  struct Daemon
  {
    explicit Daemon(std::uint64_t aId)
      : mCache(aId)
    {
    }

    TokenCache mCache;
    double mClockDrift = 0;
    Millis mClockOffset;
    Millis mFrozenUntil;
    std::vector<Millis> mHeld;
  };

  std::int64_t randomBelow(std::int64_t aBound)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBound - 1)(mRandom);
  }
  double randomUniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  Millis localTime(const Daemon& aDaemon, Millis aNow) const
  {
    const double count = static_cast<double>(aNow.mCount);
    const auto local =
      static_cast<std::int64_t>(count * (1 + aDaemon.mClockDrift));
    return aDaemon.mClockOffset + Millis{ local };
  }

  void startOwner(Millis aNow)
  {
    constexpr Millis kLongAgo{ 3600000 };
    const Millis since = mOptions.mFullAtTakeover ? aNow - kLongAgo : aNow;
    mBucket =
      std::make_unique<WorkspaceBucket>(mOptions.mRate, mOptions.mBurst, since);
  }

  void changeOwner(Millis aNow)
  {
    if (mOptions.mTakeoverEvery == Millis{ 0 }) {
      return;
    }
    if (mBucket && randomBelow(mOptions.mTakeoverEvery.mCount) == 0) {
      mBucket.reset();
      mNextOwnerAt = aNow + Millis{ randomBelow(mOptions.mMaxOwnerGap.mCount) };
    }
    if (!mBucket && aNow >= mNextOwnerAt) {
      startOwner(aNow);
    }
  }

  void send(Millis aNow, std::function<void(Millis)> aArrive)
  {
    ++mResult.mMessages;
    if (randomBelow(100) < mOptions.mLossPercent) {
      return;
    }
    const int copies = randomBelow(100) < mOptions.mDuplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Millis delay{ 1 + randomBelow(mOptions.mMaxDelay.mCount) };
      mMessagesInFlight.emplace(aNow + delay, aArrive);
    }
  }

  void deliver(Millis aNow)
  {
    while (!mMessagesInFlight.empty() &&
           mMessagesInFlight.begin()->first <= aNow) {
      auto node = mMessagesInFlight.extract(mMessagesInFlight.begin());
      node.mapped()(aNow);
    }
  }

  void stepDaemon(std::size_t aIndex, Millis aNow)
  {
    Daemon& daemon = mDaemons[aIndex];
    const int arrived = mArrivals(aIndex, aNow, mRandom);
    mResult.mOffered += static_cast<std::uint32_t>(arrived);
    if (randomBelow(1000000) < mOptions.mFreezePerMillion) {
      daemon.mFrozenUntil =
        aNow + Millis{ randomBelow(mOptions.mMaxFreeze.mCount) };
    }
    if (aNow < daemon.mFrozenUntil) {
      mResult.mRefused += static_cast<std::uint32_t>(arrived);
      return;
    }
    const Millis local = localTime(daemon, aNow);
    serveHeld(daemon, aNow);
    for (int i = 0; i < arrived; ++i) {
      onRequest(daemon, local, aNow);
    }
    for (wire::TokenAskT& ask : daemon.mCache.asks(local)) {
      sendAsk(aIndex, std::move(ask), local, aNow);
    }
  }

  void onRequest(Daemon& aDaemon, Millis aLocal, Millis aNow)
  {
    switch (aDaemon.mCache.take("guild", aLocal)) {
      case TakeResult::Taken:
        mResult.mSpends.push_back(aNow);
        mResult.mWaits.push_back(Millis{ 0 });
        break;
      case TakeResult::WaitForGrant:
        aDaemon.mHeld.push_back(aNow);
        break;
      case TakeResult::Refused:
        ++mResult.mRefused;
        break;
    }
  }

  void serveHeld(Daemon& aDaemon, Millis aNow)
  {
    const Millis local = localTime(aDaemon, aNow);
    std::vector<Millis> waiting;
    for (const Millis since : aDaemon.mHeld) {
      if (aNow - since > mOptions.mMaxHold) {
        aDaemon.mCache.cancelWait("guild");
        ++mResult.mRefused;
        continue;
      }
      if (aDaemon.mCache.takeForWaiting("guild", local) == TakeResult::Taken) {
        mResult.mSpends.push_back(aNow);
        mResult.mWaits.push_back(aNow - since);
        continue;
      }
      waiting.push_back(since);
    }
    aDaemon.mHeld = std::move(waiting);
  }

  void sendAsk(std::size_t aIndex,
               wire::TokenAskT aAsk,
               Millis aSentAt,
               Millis aNow)
  {
    send(aNow, [this, aIndex, aAsk, aSentAt](Millis aArrived) {
      if (!mBucket) {
        return;
      }
      const wire::TokenGrantT grant = mBucket->grant(aAsk, aArrived);
      send(aArrived, [this, aIndex, grant, aSentAt](Millis aBack) {
        onGrant(aIndex, grant, aSentAt, aBack);
      });
    });
  }

  void onGrant(std::size_t aIndex,
               const wire::TokenGrantT& aGrant,
               Millis aSentAt,
               Millis aNow)
  {
    Daemon& daemon = mDaemons[aIndex];
    if (aNow < daemon.mFrozenUntil) {
      mMessagesInFlight.emplace(daemon.mFrozenUntil,
                                [this, aIndex, aGrant, aSentAt](Millis aLater) {
                                  onGrant(aIndex, aGrant, aSentAt, aLater);
                                });
      return;
    }
    const Millis local = localTime(daemon, aNow);
    daemon.mCache.onGrant(aGrant, aSentAt, local);
  }

  Options mOptions;
  Arrivals mArrivals;
  std::mt19937_64 mRandom;
  std::unique_ptr<WorkspaceBucket> mBucket;
  Millis mNextOwnerAt;
  std::vector<Daemon> mDaemons;
  std::multimap<Millis, std::function<void(Millis)>> mMessagesInFlight;
  Result mResult;
};

}

#endif

#ifndef RADISHROAD_TESTS_RATE_FLEET_H
#define RADISHROAD_TESTS_RATE_FLEET_H

#include "radishroad/policy/token_wallet.h"
#include "radishroad/policy/workspace_bucket.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace radishroad {

/// A model of daemons that take one workspace's requests and of the owner of
/// its bucket, in steps of a millisecond: messages are delayed, lost, copied
/// and overtake each other, clocks drift, daemons freeze, owners change.
class RateFleet
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
    int mCopyPercent = 0;
    Millis mMaxDelay{ 3 };
    /// Chance of a freeze in each step of a daemon, in a million.
    int mFreezePerMillion = 0;
    Millis mMaxFreeze{ 1500 };
    /// Mean time between changes of the owner; 0 for none.
    Millis mTakeoverEvery;
    Millis mMaxOwnerGap{ 300 };
    double mMaxDrift = 0;
    Millis mHold{ 500 };
    /// Naive version: a new owner starts with a full bucket.
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

  /// Number of requests that come to a daemon at a time.
  using Arrivals =
    std::function<int(std::size_t aDaemon, Millis aNow, std::mt19937_64&)>;

  RateFleet(Options aOptions, Arrivals aArrivals)
    : mOptions(aOptions)
    , mArrivals(std::move(aArrivals))
    , mRandom(aOptions.mSeed)
  {
    for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
      Daemon daemon(i + 1);
      daemon.mDrift = mOptions.mMaxDrift * (2 * uniform() - 1);
      daemon.mOffset = Millis{ below(100000) };
      mDaemons.push_back(std::move(daemon));
    }
    newOwner(Millis{ 0 });
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

  /// The most by which spending passed rate x time + burst over any span.
  static double excess(const std::vector<Millis>& aSpends,
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
      : mWallet(aId)
    {
    }

    TokenWallet mWallet;
    double mDrift = 0;
    Millis mOffset;
    Millis mFrozenUntil;
    std::vector<Millis> mHeld;
  };

  std::int64_t below(std::int64_t aBound)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBound - 1)(mRandom);
  }
  double uniform()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  Millis localTime(const Daemon& aDaemon, Millis aNow) const
  {
    const double count = static_cast<double>(aNow.mCount);
    const auto local = static_cast<std::int64_t>(count * (1 + aDaemon.mDrift));
    return aDaemon.mOffset + Millis{ local };
  }

  void newOwner(Millis aNow)
  {
    constexpr Millis kLongAgo{ 3600000 };
    const Millis since = mOptions.mFullAtTakeover ? aNow - kLongAgo : aNow;
    mOwner =
      std::make_unique<WorkspaceBucket>(mOptions.mRate, mOptions.mBurst, since);
  }

  void changeOwner(Millis aNow)
  {
    if (mOptions.mTakeoverEvery == Millis{ 0 }) {
      return;
    }
    if (mOwner && below(mOptions.mTakeoverEvery.mCount) == 0) {
      mOwner.reset();
      mNextOwnerAt = aNow + Millis{ below(mOptions.mMaxOwnerGap.mCount) };
    }
    if (!mOwner && aNow >= mNextOwnerAt) {
      newOwner(aNow);
    }
  }

  void send(Millis aNow, std::function<void(Millis)> aArrive)
  {
    ++mResult.mMessages;
    if (below(100) < mOptions.mLossPercent) {
      return;
    }
    const int copies = below(100) < mOptions.mCopyPercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Millis delay{ 1 + below(mOptions.mMaxDelay.mCount) };
      mInFlight.emplace(aNow + delay, aArrive);
    }
  }

  void deliver(Millis aNow)
  {
    while (!mInFlight.empty() && mInFlight.begin()->first <= aNow) {
      auto node = mInFlight.extract(mInFlight.begin());
      node.mapped()(aNow);
    }
  }

  void stepDaemon(std::size_t aIndex, Millis aNow)
  {
    Daemon& daemon = mDaemons[aIndex];
    const int arrived = mArrivals(aIndex, aNow, mRandom);
    mResult.mOffered += static_cast<std::uint32_t>(arrived);
    if (below(1000000) < mOptions.mFreezePerMillion) {
      daemon.mFrozenUntil = aNow + Millis{ below(mOptions.mMaxFreeze.mCount) };
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
    for (wire::TokenAskT& ask : daemon.mWallet.asks(local)) {
      sendAsk(aIndex, std::move(ask), local, aNow);
    }
  }

  void onRequest(Daemon& aDaemon, Millis aLocal, Millis aNow)
  {
    switch (aDaemon.mWallet.take("guild", aLocal)) {
      case TakeVerdict::Taken:
        mResult.mSpends.push_back(aNow);
        mResult.mWaits.push_back(Millis{ 0 });
        break;
      case TakeVerdict::WaitForGrant:
        aDaemon.mHeld.push_back(aNow);
        break;
      case TakeVerdict::Refused:
        ++mResult.mRefused;
        break;
    }
  }

  void serveHeld(Daemon& aDaemon, Millis aNow)
  {
    const Millis local = localTime(aDaemon, aNow);
    std::vector<Millis> waiting;
    for (const Millis since : aDaemon.mHeld) {
      if (aNow - since > mOptions.mHold) {
        aDaemon.mWallet.dropHeld("guild");
        ++mResult.mRefused;
        continue;
      }
      if (aDaemon.mWallet.takeHeld("guild", local) == TakeVerdict::Taken) {
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
      if (!mOwner) {
        return;
      }
      const wire::TokenGrantT grant = mOwner->grant(aAsk, aArrived);
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
      mInFlight.emplace(daemon.mFrozenUntil,
                        [this, aIndex, aGrant, aSentAt](Millis aLater) {
                          onGrant(aIndex, aGrant, aSentAt, aLater);
                        });
      return;
    }
    const Millis local = localTime(daemon, aNow);
    daemon.mWallet.onGrant(aGrant, aSentAt, local);
  }

  Options mOptions;
  Arrivals mArrivals;
  std::mt19937_64 mRandom;
  std::unique_ptr<WorkspaceBucket> mOwner;
  Millis mNextOwnerAt;
  std::vector<Daemon> mDaemons;
  std::multimap<Millis, std::function<void(Millis)>> mInFlight;
  Result mResult;
};

}

#endif

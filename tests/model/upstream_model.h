#ifndef RADISHROAD_TESTS_UPSTREAM_MODEL_H
#define RADISHROAD_TESTS_UPSTREAM_MODEL_H

#include "radishroad/base/millis.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace radishroad {

/// A model of one upstream behind a gate, in steps of a millisecond. A cold
/// upstream has few of its slots and is slow; it warms up by working. When
/// it holds more than it can bear for a while it falls over, loses what it
/// runs, and starts cold after a pause.
template<typename Window>
class UpstreamModel
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    double mSlots = 10;
    double mServiceMs = 20;
    int mIdempotentPercent = 80;
    /// Requests a second that callers offer.
    double mOffered = 400;
    /// Instead of mOffered, if set: by the time and the size of the window.
    std::function<double(Millis, double)> mOfferedAt;
    double mColdWarmth = 0.15;
    /// Slot-seconds of work at which a cold upstream is warm.
    double mWarmUpWork = 20;
    /// It bears so many times its effective slots, for so long.
    double mBears = 3;
    Millis mBearsFor{ 300 };
    Millis mRestart{ 2000 };
    Millis mDeadline{ 1000 };
    /// More than this at once is shed; 0 for never.
    std::uint32_t mShedAt = 0;
    Millis mDuration{ 40000 };
    /// Answer times count from here on.
    Millis mTimesFrom;
    /// It turns cold without a sign at this time; 0 for never.
    Millis mTurnsColdAt;
    /// It is so many times slower in this span.
    Millis mSlowFromSecond;
    Millis mSlowUntilSecond;
    double mSlowFactor = 1;
  };

  struct Result
  {
    std::uint32_t mOffered = 0;
    std::uint32_t mAnswered = 0;
    std::uint32_t mNotRun = 0;
    std::uint32_t mLost = 0;
    int mFalls = 0;
    /// First time from which on, for a second, 95 of 100 offered were
    /// answered; the duration if never.
    Millis mFullRateAt;
    Millis mDown;
    double mP99Ms = 0;
    double mMostOverBearable = 0;
    std::vector<std::uint32_t> mLimits;
  };

  UpstreamModel(Options aOptions, Window aWindow)
    : mOptions(aOptions)
    , mWindow(std::move(aWindow))
    , mRandom(aOptions.mSeed)
    , mWarmth(aOptions.mColdWarmth)
  {
    mResult.mFullRateAt = aOptions.mDuration;
    mWindow.onCold(Millis{ 0 });
  }

  Result run()
  {
    for (Millis now; now < mOptions.mDuration; now += Millis{ 1 }) {
      arrive(now);
      if (now == mOptions.mTurnsColdAt && now > Millis{ 0 }) {
        mWarmth = mOptions.mColdWarmth;
      }
      if (now < mDownUntil) {
        mResult.mDown += Millis{ 1 };
        expire(now);
      } else {
        step(now);
      }
      noteRate(now);
    }
    finish();
    return mResult;
  }

private:
  struct Job
  {
    Millis mArrived;
    Millis mSent;
    std::uint32_t mInFlight = 0;
    double mLeftMs = 0;
    bool mIdempotent = false;
    bool mTakenBack = false;
  };

  double effectiveSlots() const
  {
    return std::max(1.0, mOptions.mSlots * mWarmth);
  }

  double offeredAt(Millis aNow) const
  {
    if constexpr (requires { mWindow.size(); }) {
      if (mOptions.mOfferedAt) {
        return mOptions.mOfferedAt(aNow, mWindow.size());
      }
    }
    return mOptions.mOffered;
  }

  void arrive(Millis aNow)
  {
    std::poisson_distribution<int> count(offeredAt(aNow) / 1000.0);
    std::uniform_int_distribution<int> count100(0, 99);
    const int n = count(mRandom);
    for (int i = 0; i < n; ++i) {
      ++mResult.mOffered;
      ++mOfferedInSpan;
      Job job;
      job.mArrived = aNow;
      job.mIdempotent = count100(mRandom) < mOptions.mIdempotentPercent;
      if constexpr (requires { mWindow.onOffered(true); }) {
        mWindow.onOffered(job.mIdempotent);
      }
      mQueue.push_back(job);
    }
  }

  bool maySend(const Job& aJob) const
  {
    if constexpr (requires { mWindow.nonIdempotentLimit(); }) {
      const auto n = std::ranges::count(mRunning, false, &Job::mIdempotent);
      return aJob.mIdempotent || n < mWindow.nonIdempotentLimit();
    }
    return true;
  }

  void expire(Millis aNow)
  {
    const Millis need = mWindow.expectedTime();
    while (!mQueue.empty() &&
           aNow + need - mQueue.front().mArrived >= mOptions.mDeadline) {
      mQueue.pop_front();
      ++mResult.mNotRun;
    }
  }

  void step(Millis aNow)
  {
    expire(aNow);
    dispatch(aNow);
    work(aNow);
    giveUp(aNow);
    notePending(aNow);
    noteLoad(aNow);
  }

  void dispatch(Millis aNow)
  {
    std::exponential_distribution<double> extra(1.0);
    const auto maySendIt = [this](const Job& aJob) { return maySend(aJob); };
    while (mRunning.size() < mWindow.limit()) {
      const auto next = std::ranges::find_if(mQueue, maySendIt);
      if (next == mQueue.end()) {
        return;
      }
      if (mOptions.mShedAt > 0 && mRunning.size() >= mOptions.mShedAt) {
        mWindow.onShed(aNow);
        return;
      }
      Job job = *next;
      mQueue.erase(next);
      job.mSent = aNow;
      // Half of the service time varies.
      job.mLeftMs = mOptions.mServiceMs * (0.5 + 0.5 * extra(mRandom));
      mRunning.push_back(job);
      mRunning.back().mInFlight = static_cast<std::uint32_t>(mRunning.size());
    }
  }

  void work(Millis aNow)
  {
    const bool slow =
      aNow >= mOptions.mSlowFromSecond && aNow < mOptions.mSlowUntilSecond;
    const double coldFactor = 1 + 2 * (1 - mWarmth);
    const double speed = 1 / coldFactor / (slow ? mOptions.mSlowFactor : 1);
    double slots = effectiveSlots();
    std::vector<Job> left;
    for (Job& job : mRunning) {
      const double share = std::clamp(slots, 0.0, 1.0);
      slots -= share;
      job.mLeftMs -= share * speed;
      warmUp(share);
      if (job.mLeftMs > 0) {
        left.push_back(job);
        continue;
      }
      ++mResult.mAnswered;
      ++mAnsweredInSpan;
      if (aNow >= mOptions.mTimesFrom) {
        mTimes.push_back((aNow - job.mArrived).mCount);
      }
      mWindow.onAnswer(aNow - job.mSent, job.mInFlight, aNow);
    }
    mRunning = std::move(left);
  }

  void warmUp(double aShare)
  {
    const double missing = 1 - mOptions.mColdWarmth;
    const double step = missing * aShare / 1000 / mOptions.mWarmUpWork;
    mWarmth = std::min(1.0, mWarmth + step);
  }

  void giveUp(Millis aNow)
  {
    const auto late = [&](const Job& aJob) {
      const bool expired = aNow - aJob.mArrived >= mOptions.mDeadline;
      if (expired) {
        mWindow.onTimeout(aNow - aJob.mSent, aNow);
      }
      return expired;
    };
    mResult.mLost += static_cast<std::uint32_t>(std::erase_if(mRunning, late));
  }

  void notePending(Millis aNow)
  {
    // The baselines have no such sign.
    if constexpr (requires { mWindow.ages(); }) {
      const auto ages = mWindow.ages();
      typename Window::Pending pending;
      for (const Job& job : mRunning) {
        const Millis age = aNow - job.mSent;
        ++pending.mTotal;
        pending.mLate += age >= ages.mLate ? 1 : 0;
        pending.mCold += age >= ages.mCold ? 1 : 0;
      }
      if (mWindow.onPending(pending, aNow)) {
        takeBack();
      }
    }
  }

  /// Cancels the newest idempotent requests beyond the limit, to run later.
  void takeBack()
  {
    for (std::size_t i = mRunning.size(); i-- > 0;) {
      Job& job = mRunning[i];
      if (mRunning.size() <= mWindow.limit()) {
        return;
      }
      if (job.mIdempotent && !job.mTakenBack) {
        job.mTakenBack = true;
        mQueue.push_front(job);
        mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  void noteLoad(Millis aNow)
  {
    const double load = static_cast<double>(mRunning.size()) / effectiveSlots();
    const double over = load / mOptions.mBears;
    mResult.mMostOverBearable = std::max(mResult.mMostOverBearable, over);
    if (over <= 1) {
      mOverSince = aNow;
      return;
    }
    if (aNow - mOverSince < mOptions.mBearsFor) {
      return;
    }
    ++mResult.mFalls;
    mResult.mLost += static_cast<std::uint32_t>(mRunning.size());
    mRunning.clear();
    mWarmth = mOptions.mColdWarmth;
    mDownUntil = aNow + mOptions.mRestart;
    mOverSince = mDownUntil;
    mWindow.onCold(mDownUntil);
  }

  void noteRate(Millis aNow)
  {
    constexpr std::int64_t kSpan = 1000;
    if (aNow.mCount % kSpan != kSpan - 1) {
      return;
    }
    mResult.mLimits.push_back(mWindow.limit());
    const bool full = mAnsweredInSpan * 100 >= mOfferedInSpan * 95;
    if (full && mResult.mFullRateAt == mOptions.mDuration) {
      mResult.mFullRateAt = aNow - Millis{ kSpan - 1 };
    }
    mAnsweredInSpan = 0;
    mOfferedInSpan = 0;
  }

  void finish()
  {
    if (mTimes.empty()) {
      return;
    }
    std::ranges::sort(mTimes);
    mResult.mP99Ms = static_cast<double>(mTimes[mTimes.size() * 99 / 100]);
  }

  Options mOptions;
  Window mWindow;
  std::mt19937_64 mRandom;
  double mWarmth;
  std::deque<Job> mQueue;
  std::vector<Job> mRunning;
  Millis mOverSince;
  Millis mDownUntil;
  std::uint32_t mAnsweredInSpan = 0;
  std::uint32_t mOfferedInSpan = 0;
  std::vector<std::int64_t> mTimes;
  Result mResult;
};

}

#endif

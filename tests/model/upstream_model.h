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

/// Simulates one upstream behind a gate in steps of 1 ms. A cold upstream has
/// only part of its slots and is slow; it warms up as it works. When it is
/// overloaded for too long it crashes, loses the requests that it runs, and
/// restarts cold after a pause.
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
    /// Requests per second that callers send.
    double mOffered = 400;
    /// Replaces mOffered if set: rate by the time and the size of the window.
    std::function<double(Millis, double)> mOfferedAt;
    /// Fraction of its slots that a cold upstream has.
    double mColdCapacity = 0.15;
    /// Slot-seconds of work after which a cold upstream is warm.
    double mWarmUpWork = 20;
    /// More running requests than this multiple of its effective slots crash
    /// the upstream after mOverloadTolerance.
    double mOverloadFactor = 3;
    Millis mOverloadTolerance{ 300 };
    Millis mRestartTime{ 2000 };
    Millis mDeadline{ 1000 };
    /// Requests beyond this number of running ones are shed; 0: none are.
    std::uint32_t mShedAt = 0;
    Millis mDuration{ 40000 };
    /// Only answers from this time on count for the latency percentile.
    Millis mLatencyFrom;
    /// The upstream turns cold at this time without an event; 0: never.
    Millis mTurnsColdAt;
    /// Between these times the upstream is slower by mSlowFactor.
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
    int mCrashCount = 0;
    /// Start of the first second in which at least 95% of the offered requests
    /// were answered; mDuration if there is none.
    Millis mFullRateAt;
    Millis mDownTime;
    double mP99Ms = 0;
    double mPeakOverload = 0;
    std::vector<std::uint32_t> mLimits;
  };

  UpstreamModel(Options aOptions, Window aWindow)
    : mOptions(aOptions)
    , mWindow(std::move(aWindow))
    , mRandom(aOptions.mSeed)
    , mCapacity(aOptions.mColdCapacity)
  {
    mResult.mFullRateAt = aOptions.mDuration;
    mWindow.onCold(Millis{ 0 });
  }

  Result run()
  {
    for (Millis now; now < mOptions.mDuration; now += Millis{ 1 }) {
      arrive(now);
      if (now == mOptions.mTurnsColdAt && now > Millis{ 0 }) {
        mCapacity = mOptions.mColdCapacity;
      }
      if (now < mDownUntil) {
        mResult.mDownTime += Millis{ 1 };
        expireQueued(now);
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
    double mRemainingMs = 0;
    bool mIdempotent = false;
    bool mRequeued = false;
  };

  double effectiveSlots() const
  {
    return std::max(1.0, mOptions.mSlots * mCapacity);
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
    std::uniform_int_distribution<int> percent(0, 99);
    const int n = count(mRandom);
    for (int i = 0; i < n; ++i) {
      ++mResult.mOffered;
      ++mOfferedInPeriod;
      Job job;
      job.mArrived = aNow;
      job.mIdempotent = percent(mRandom) < mOptions.mIdempotentPercent;
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

  void expireQueued(Millis aNow)
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
    expireQueued(aNow);
    dispatch(aNow);
    work(aNow);
    expireRunning(aNow);
    notePending(aNow);
    noteLoad(aNow);
  }

  void dispatch(Millis aNow)
  {
    std::exponential_distribution<double> extra(1.0);
    const auto mayBeSent = [this](const Job& aJob) { return maySend(aJob); };
    while (mRunning.size() < mWindow.limit()) {
      const auto next = std::ranges::find_if(mQueue, mayBeSent);
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
      // Half of the service time is fixed, half is exponentially distributed.
      job.mRemainingMs = mOptions.mServiceMs * (0.5 + 0.5 * extra(mRandom));
      mRunning.push_back(job);
      mRunning.back().mInFlight = static_cast<std::uint32_t>(mRunning.size());
    }
  }

  void work(Millis aNow)
  {
    const bool slow =
      aNow >= mOptions.mSlowFromSecond && aNow < mOptions.mSlowUntilSecond;
    const double coldFactor = 1 + 2 * (1 - mCapacity);
    const double speed = 1 / coldFactor / (slow ? mOptions.mSlowFactor : 1);
    double slots = effectiveSlots();
    std::vector<Job> left;
    for (Job& job : mRunning) {
      const double share = std::clamp(slots, 0.0, 1.0);
      slots -= share;
      job.mRemainingMs -= share * speed;
      warmUp(share);
      if (job.mRemainingMs > 0) {
        left.push_back(job);
        continue;
      }
      ++mResult.mAnswered;
      ++mAnsweredInPeriod;
      if (aNow >= mOptions.mLatencyFrom) {
        mLatencies.push_back((aNow - job.mArrived).mCount);
      }
      mWindow.onAnswer(aNow - job.mSent, job.mInFlight, aNow);
    }
    mRunning = std::move(left);
  }

  void warmUp(double aShare)
  {
    const double missing = 1 - mOptions.mColdCapacity;
    const double step = missing * aShare / 1000 / mOptions.mWarmUpWork;
    mCapacity = std::min(1.0, mCapacity + step);
  }

  void expireRunning(Millis aNow)
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
    // The baselines do not use the ages of pending requests.
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
        requeueNewestJobs();
      }
    }
  }

  /// Cancels the newest idempotent requests beyond the limit and requeues them.
  void requeueNewestJobs()
  {
    for (std::size_t i = mRunning.size(); i-- > 0;) {
      Job& job = mRunning[i];
      if (mRunning.size() <= mWindow.limit()) {
        return;
      }
      if (job.mIdempotent && !job.mRequeued) {
        job.mRequeued = true;
        mQueue.push_front(job);
        mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  void noteLoad(Millis aNow)
  {
    const double load = static_cast<double>(mRunning.size()) / effectiveSlots();
    const double overload = load / mOptions.mOverloadFactor;
    mResult.mPeakOverload = std::max(mResult.mPeakOverload, overload);
    if (overload <= 1) {
      mOverloadedSince = aNow;
      return;
    }
    if (aNow - mOverloadedSince < mOptions.mOverloadTolerance) {
      return;
    }
    ++mResult.mCrashCount;
    mResult.mLost += static_cast<std::uint32_t>(mRunning.size());
    mRunning.clear();
    mCapacity = mOptions.mColdCapacity;
    mDownUntil = aNow + mOptions.mRestartTime;
    mOverloadedSince = mDownUntil;
    mWindow.onCold(mDownUntil);
  }

  void noteRate(Millis aNow)
  {
    constexpr std::int64_t kPeriodMs = 1000;
    if (aNow.mCount % kPeriodMs != kPeriodMs - 1) {
      return;
    }
    mResult.mLimits.push_back(mWindow.limit());
    const bool full = mAnsweredInPeriod * 100 >= mOfferedInPeriod * 95;
    if (full && mResult.mFullRateAt == mOptions.mDuration) {
      mResult.mFullRateAt = aNow - Millis{ kPeriodMs - 1 };
    }
    mAnsweredInPeriod = 0;
    mOfferedInPeriod = 0;
  }

  void finish()
  {
    if (mLatencies.empty()) {
      return;
    }
    std::ranges::sort(mLatencies);
    mResult.mP99Ms =
      static_cast<double>(mLatencies[mLatencies.size() * 99 / 100]);
  }

  Options mOptions;
  Window mWindow;
  std::mt19937_64 mRandom;
  double mCapacity;
  std::deque<Job> mQueue;
  std::vector<Job> mRunning;
  Millis mOverloadedSince;
  Millis mDownUntil;
  std::uint32_t mAnsweredInPeriod = 0;
  std::uint32_t mOfferedInPeriod = 0;
  std::vector<std::int64_t> mLatencies;
  Result mResult;
};

}

#endif

#ifndef RADISHROAD_POLICY_RETRY_BUDGET_H
#define RADISHROAD_POLICY_RETRY_BUDGET_H

#include "radishroad/base/millis.h"

#include <algorithm>

namespace radishroad {

/// Bounds retries to a share of the requests, so that a failing upstream is
/// not flooded by repeats. Each request adds a part of a token, a retry takes
/// one; a small allowance by time serves callers with few requests. The idea
/// is that of Finagle's retry budget. Pure.
class RetryBudget
{
public:
  struct Bounds
  {
    /// Retries for each request, such as 0.1.
    double mRatio = 0.1;
    /// Retries that may come at once.
    double mMost = 20;
    /// Retries a second that need no requests.
    double mPerSecond = 2;
  };

  /// aRatio: as Bounds::mRatio.
  explicit RetryBudget(double aRatio)
    : RetryBudget(Bounds{ .mRatio = aRatio })
  {
  }
  explicit RetryBudget(Bounds aBounds)
    : mBounds(aBounds)
    , mTokens(aBounds.mMost)
  {
  }

  void onRequest() { add(mBounds.mRatio); }

  /// Takes a token if there is one.
  bool tryRetry(Millis aNow)
  {
    const Millis passed = std::max(Millis{ 0 }, aNow - mRefilledAt);
    mRefilledAt = std::max(mRefilledAt, aNow);
    add(mBounds.mPerSecond * static_cast<double>(passed.mCount) /
        kMillisPerSecond);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  static constexpr double kMillisPerSecond = 1000;

  void add(double aTokens)
  {
    mTokens = std::min(mBounds.mMost, mTokens + aTokens);
  }

  Bounds mBounds;
  double mTokens;
  Millis mRefilledAt;
};

}

#endif

#ifndef RADISHROAD_POLICY_RETRY_BUDGET_H
#define RADISHROAD_POLICY_RETRY_BUDGET_H

#include "radishroad/base/millis.h"

#include <algorithm>

namespace radishroad {

/// Limits retries to a share of the requests, so that retries do not overload a
/// failing upstream. Each request adds a fraction of a token and each retry
/// takes one; a small rate over time serves callers with few requests. Follows
/// Finagle's retry budget. Does no I/O and reads no clock.
class RetryBudget
{
public:
  struct Options
  {
    /// Retries per request, such as 0.1.
    double mRatio = 0.1;
    /// Maximum burst of retries.
    double mMaxTokens = 20;
    /// Retries a second that are allowed without requests.
    double mTokensPerSecond = 2;
  };

  /// aRatio: see Options::mRatio.
  explicit RetryBudget(double aRatio)
    : RetryBudget(Options{ .mRatio = aRatio })
  {
  }
  explicit RetryBudget(Options aOptions)
    : mOptions(aOptions)
    , mTokens(aOptions.mMaxTokens)
  {
  }

  void onRequest() { add(mOptions.mRatio); }

  /// Takes a token; returns false if there is none.
  bool tryRetry(Millis aNow)
  {
    const Millis passed = std::max(Millis{ 0 }, aNow - mRefilledAt);
    mRefilledAt = std::max(mRefilledAt, aNow);
    add(mOptions.mTokensPerSecond * static_cast<double>(passed.mCount) /
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
    mTokens = std::min(mOptions.mMaxTokens, mTokens + aTokens);
  }

  Options mOptions;
  double mTokens;
  Millis mRefilledAt;
};

}

#endif

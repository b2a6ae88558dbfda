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
  /// aRatio: retries for each request, such as 0.1.
  explicit RetryBudget(double aRatio)
    : mRatio(aRatio)
  {
  }

  void onRequest() { add(mRatio); }

  /// Takes a token if there is one.
  bool tryRetry(Millis aNow)
  {
    const Millis passed = std::max(Millis{ 0 }, aNow - mAllowedUntil);
    mAllowedUntil = std::max(mAllowedUntil, aNow);
    add(kAllowancePerSecond * static_cast<double>(passed.mCount) /
        kMillisPerSecond);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  static constexpr double kMaxTokens = 20;
  static constexpr double kAllowancePerSecond = 2;
  static constexpr double kMillisPerSecond = 1000;

  void add(double aTokens)
  {
    mTokens = std::min(kMaxTokens, mTokens + aTokens);
  }

  double mRatio;
  double mTokens = kMaxTokens;
  Millis mAllowedUntil;
};

}

#endif

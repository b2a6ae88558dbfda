#ifndef RADISHROAD_POLICY_STATIC_TOKEN_BUCKET_H
#define RADISHROAD_POLICY_STATIC_TOKEN_BUCKET_H

#include "radishroad/base/millis.h"

#include <algorithm>
#include <cstdint>

namespace radishroad {

/// Baseline for workspaces' rates: each daemon has a fixed part of rate and
/// burst and asks nobody. With one part it is a plain token bucket, which is
/// also the baseline of one central call for each request. Pure.
class StaticTokenBucket
{
public:
  StaticTokenBucket(double aRate,
                    double aBurst,
                    std::uint32_t aShares,
                    Millis aNow)
    : mRate(aRate / aShares)
    , mBurst(aBurst / aShares)
    , mLevel(mBurst)
    , mAdvancedTo(aNow)
  {
  }

  bool take(Millis aNow)
  {
    const double passed = static_cast<double>((aNow - mAdvancedTo).mCount);
    mAdvancedTo = aNow;
    mLevel = std::min(mBurst, mLevel + mRate * passed / kMillisPerSecond);
    if (mLevel < 1) {
      return false;
    }
    mLevel -= 1;
    return true;
  }

private:
  static constexpr double kMillisPerSecond = 1000.0;

  double mRate;
  double mBurst;
  double mLevel;
  Millis mAdvancedTo;
};

}

#endif

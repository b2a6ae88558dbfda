#ifndef RADISHROAD_POLICY_STATIC_TOKEN_BUCKET_H
#define RADISHROAD_POLICY_STATIC_TOKEN_BUCKET_H

#include "radishroad/base/millis.h"

#include <algorithm>
#include <cstdint>

namespace radishroad {

/// Baseline for comparison with WorkspaceBucket: each daemon has a fixed share
/// of rate and burst and never communicates. With one share it is a plain token
/// bucket, which is also the baseline for one central call per request. Does no
/// I/O and reads no clock.
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

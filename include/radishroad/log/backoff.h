#ifndef RADISHROAD_LOG_BACKOFF_H
#define RADISHROAD_LOG_BACKOFF_H

#include "radishroad/base/millis.h"

#include <functional>

namespace radishroad {

/// Delays between attempts: doubled from one failure to the next up to a
/// bound, each drawn from the upper half of its range, so that clients which
/// failed together do not come back together.
class Backoff
{
public:
  /// Draws from [0, 1).
  using RandomFn = std::function<double()>;

  Backoff(Millis aFirst, Millis aLongest, RandomFn aRandom);

  /// Delay before the next attempt.
  Millis next();
  /// To be called after a success.
  void reset();

private:
  Millis mFirst;
  Millis mLongest;
  Millis mBound;
  RandomFn mRandom;
};

/// A random source of its own, seeded by the system.
Backoff::RandomFn
systemRandom();

}

#endif

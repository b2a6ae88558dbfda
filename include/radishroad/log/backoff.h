#ifndef RADISHROAD_LOG_BACKOFF_H
#define RADISHROAD_LOG_BACKOFF_H

#include "radishroad/base/millis.h"

#include <functional>

namespace radishroad {

/// Exponential backoff with jitter. The delay doubles with each failure up to a
/// maximum, and each one is drawn from the upper half of its range, so that
/// clients that failed together do not retry together.
class Backoff
{
public:
  /// Returns a random number in [0, 1).
  using RandomFn = std::function<double()>;

  Backoff(Millis aInitial, Millis aMax, RandomFn aRandom);

  /// Delay before the next attempt.
  Millis next();
  /// Call after a success.
  void reset();

private:
  Millis mInitial;
  Millis mMax;
  Millis mCurrentMax;
  RandomFn mRandom;
};

/// Returns a random number generator of its own, seeded by the system.
Backoff::RandomFn
systemRandom();

}

#endif

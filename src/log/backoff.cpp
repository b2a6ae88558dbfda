#include "radishroad/log/backoff.h"

#include "radishroad/base/random_id.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace radishroad {

Backoff::Backoff(Millis aInitial, Millis aMax, RandomFn aRandom)
  : mInitial(aInitial)
  , mMax(aMax)
  , mCurrentMax(aInitial)
  , mRandom(std::move(aRandom))
{
}

Millis
Backoff::next()
{
  const double jitterFactor = 0.5 + mRandom() / 2;
  const double delay = static_cast<double>(mCurrentMax.mCount) * jitterFactor;
  mCurrentMax = std::min(mCurrentMax * 2, mMax);
  return { static_cast<std::int64_t>(delay) };
}

void
Backoff::reset()
{
  mCurrentMax = mInitial;
}

Backoff::RandomFn
systemRandom()
{
  std::shared_ptr<std::mt19937_64> engine =
    std::make_shared<std::mt19937_64>(makeIncarnation());
  return
    [engine] { return std::uniform_real_distribution<double>(0, 1)(*engine); };
}

}

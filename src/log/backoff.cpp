#include "radishroad/log/backoff.h"

#include "radishroad/base/random_id.h"

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace radishroad {

Backoff::Backoff(Millis aFirst, Millis aLongest, RandomFn aRandom)
  : mFirst(aFirst)
  , mLongest(aLongest)
  , mBound(aFirst)
  , mRandom(std::move(aRandom))
{
}

Millis
Backoff::next()
{
  const double share = 0.5 + mRandom() / 2;
  const double delay = static_cast<double>(mBound.mCount) * share;
  mBound = std::min(mBound * 2, mLongest);
  return { static_cast<std::int64_t>(delay) };
}

void
Backoff::reset()
{
  mBound = mFirst;
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

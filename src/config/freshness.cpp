#include "radishroad/config/freshness.h"

#include <algorithm>

namespace radishroad::config {

void
Freshness::onApplied(std::uint64_t aNext)
{
  mNext = std::max(mNext, aNext);
}

void
Freshness::onRead(std::uint64_t aNext,
                  Millis aSentAt,
                  Millis aNow,
                  bool aIsRestored)
{
  if (aIsRestored) {
    // What the store confirmed just before is in no read from now on.
    mAsOf.reset();
  }
  if (aIsRestored || !mSettledAt) {
    mSettledAt = aNow + kSettleTime;
  }
  if (aNext >= mNext && aSentAt >= *mSettledAt) {
    advance(aSentAt);
  }
  mNext = std::max(mNext, aNext);
}

void
Freshness::onPeer(std::uint64_t aNext, Millis aAsOf)
{
  if (mNext > 0 && aNext == mNext) {
    advance(aAsOf);
  }
}

std::optional<Millis>
Freshness::asOf() const
{
  return mIsReadable ? mAsOf : std::nullopt;
}

void
Freshness::advance(Millis aAsOf)
{
  mAsOf = mAsOf ? std::max(*mAsOf, aAsOf) : aAsOf;
}

bool
mayRefuseForGood(std::optional<Millis> aAsOf,
                 Millis aReceivedAt,
                 Millis aConfigTime)
{
  return aAsOf && aReceivedAt - *aAsOf <= aConfigTime;
}

std::int64_t
configAge(std::optional<Millis> aAsOf, Millis aAt)
{
  return aAsOf ? std::max(Millis{}, aAt - *aAsOf).mCount : -1;
}

}

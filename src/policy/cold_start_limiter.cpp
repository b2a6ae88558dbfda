#include "radishroad/policy/cold_start_limiter.h"

namespace radishroad {

void
ColdStartLimiter::setRate(double aPerSecond)
{
  mPerSecond = aPerSecond;
}

void
ColdStartLimiter::onCold(Millis aDuration, Millis aNow)
{
  if (aDuration <= Millis{}) {
    mColdUntil.reset();
    return;
  }
  if (!isCold(aNow)) {
    mBucket.start(aNow);
  }
  mColdUntil = aNow + aDuration;
}

bool
ColdStartLimiter::isCold(Millis aNow) const
{
  return mPerSecond > 0 && mColdUntil && aNow < *mColdUntil;
}

bool
ColdStartLimiter::maySend(Millis aNow)
{
  return !isCold(aNow) || mBucket.maySend(mPerSecond, aNow);
}

void
ColdStartLimiter::onSent(Millis aNow)
{
  if (isCold(aNow)) {
    mBucket.onSent(mPerSecond, aNow);
  }
}

Millis
ColdStartLimiter::nextSend(Millis aNow)
{
  return isCold(aNow) ? mBucket.nextSend(mPerSecond, aNow) : aNow;
}

}

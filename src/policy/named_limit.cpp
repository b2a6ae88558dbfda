#include "radishroad/policy/named_limit.h"

#include <algorithm>

namespace radishroad {

void
NamedLimit::set(std::optional<double> aPerSecond, Millis aNow)
{
  if (aPerSecond && !mPerSecond) {
    mBucket.start(aNow);
  }
  mPerSecond = aPerSecond
                 ? std::optional<double>(std::max(kMinPerSecond, *aPerSecond))
                 : std::nullopt;
}

double
NamedLimit::perSecond() const
{
  return mPerSecond.value_or(0);
}

bool
NamedLimit::maySend(Millis aNow)
{
  return !mPerSecond || mBucket.maySend(*mPerSecond, aNow);
}

void
NamedLimit::onSent(Millis aNow)
{
  if (mPerSecond) {
    mBucket.onSent(*mPerSecond, aNow);
  }
}

Millis
NamedLimit::nextSend(Millis aNow)
{
  return mPerSecond ? mBucket.nextSend(*mPerSecond, aNow) : aNow;
}

}

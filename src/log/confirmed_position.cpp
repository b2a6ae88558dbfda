#include "radishroad/log/confirmed_position.h"

#include <algorithm>

namespace radishroad {

void
ConfirmedPosition::onRead(std::uint64_t aNext, Millis aSentAt)
{
  mNext = std::max(mNext, aNext);
  if (aNext >= mNext) {
    confirm(aSentAt);
  }
}

void
ConfirmedPosition::onRelayed(std::uint64_t aNext)
{
  mNext = std::max(mNext, aNext);
}

void
ConfirmedPosition::onPeer(std::uint64_t aNext, Millis aAsOf)
{
  mHighestReported = std::max(mHighestReported, aNext);
  // A peer that is behind confirms nothing, nor does one at the same position
  // once another has been ahead.
  if (mNext > 0 && aNext == mNext && mHighestReported == mNext) {
    confirm(aAsOf);
  }
}

void
ConfirmedPosition::confirm(Millis aAt)
{
  mConfirmedAt = mConfirmedAt ? std::max(*mConfirmedAt, aAt) : aAt;
}

}

#include "radishroad/log/feed_position.h"

#include <algorithm>

namespace radishroad {

FeedPosition::Read
FeedPosition::nextRead(Millis aNow) const
{
  if (mRereadAt && aNow >= *mRereadAt) {
    return { 0, Millis{} };
  }
  if (!mMayWait) {
    return { mNext, Millis{} };
  }
  return { mNext, mRereadAt ? std::min(kWait, *mRereadAt - aNow) : kWait };
}

void
FeedPosition::onRead(const OperatorEntries& aEntries, Millis aNow)
{
  mNext = aEntries.mNext;
  mMayWait = true;
  if (aEntries.mIsRestored) {
    mRereadAt = aNow + kRereadDelay;
  } else if (mRereadAt && aNow >= *mRereadAt) {
    mRereadAt.reset();
  }
}

}

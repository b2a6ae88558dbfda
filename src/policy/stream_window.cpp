#include "radishroad/policy/stream_window.h"

namespace radishroad {

StreamWindow::StreamWindow(Options aOptions)
  : mOptions(aOptions)
{
}

std::size_t
StreamWindow::sendable() const
{
  return mOutstanding < mOptions.mBytes ? mOptions.mBytes - mOutstanding : 0;
}

void
StreamWindow::onSent(std::size_t aBytes, Millis aNow)
{
  if (mOutstanding == 0) {
    // Until now the reader had nothing to take.
    mPeriodStart = aNow;
    mTakenInPeriod = 0;
  }
  mOutstanding += aBytes;
}

bool
StreamWindow::onTaken(std::size_t aBytes, Millis aNow)
{
  if (aBytes > mOutstanding) {
    return false;
  }
  mOutstanding -= aBytes;
  mTakenInPeriod += aBytes;
  if (mTakenInPeriod >= mOptions.mMinBytes) {
    mPeriodStart = aNow;
    mTakenInPeriod = 0;
  }
  return true;
}

bool
StreamWindow::isStalled(Millis aNow) const
{
  return mOutstanding > 0 && aNow - mPeriodStart >= mOptions.mStallTime;
}

}

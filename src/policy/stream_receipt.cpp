#include "radishroad/policy/stream_receipt.h"

#include <utility>

namespace radishroad {

namespace {

constexpr std::size_t kCreditParts = 4;

}

StreamReceipt::StreamReceipt(std::size_t aWindowBytes, std::int64_t aBodyBytes)
  : mWindowBytes(aWindowBytes)
  , mBodyBytes(aBodyBytes)
  , mCredit(aWindowBytes)
{
}

bool
StreamReceipt::onPart(std::uint32_t aSequence, std::size_t aBytes)
{
  if (aSequence != mLastSequence + 1 || aBytes > mCredit) {
    return false;
  }
  mLastSequence = aSequence;
  mCredit -= aBytes;
  mReceived += aBytes;
  return mBodyBytes < 0 || mReceived <= static_cast<std::uint64_t>(mBodyBytes);
}

std::size_t
StreamReceipt::onTaken(std::size_t aBytes)
{
  mTaken += aBytes;
  if (mTaken < mWindowBytes / kCreditParts) {
    return 0;
  }
  mCredit += mTaken;
  return std::exchange(mTaken, 0);
}

bool
StreamReceipt::isWhole() const
{
  return mBodyBytes < 0 || mReceived == static_cast<std::uint64_t>(mBodyBytes);
}

}

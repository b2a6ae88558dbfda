#include "radishroad/base/body_memory.h"

namespace radishroad {

namespace {

/// Part of the memory that only small bodies may use.
constexpr std::size_t kSmallPart = 8;

}

BodyMemory::BodyMemory(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

bool
BodyMemory::mayGrow(std::size_t aMaxBytes,
                    std::size_t aUsed,
                    std::size_t aHeld,
                    std::size_t aWanted)
{
  const std::size_t used = aUsed - aHeld + aWanted;
  if (aWanted <= kSmallBytes) {
    return used <= aMaxBytes;
  }
  const std::size_t maxForLarge = aMaxBytes - aMaxBytes / kSmallPart;
  return used <= maxForLarge && aWanted <= maxForLarge - used;
}

bool
BodyMemory::tryResize(std::size_t aHeld, std::size_t aWanted)
{
  if (aWanted <= aHeld) {
    resize(aHeld, aWanted);
    return true;
  }
  std::size_t used = mUsed;
  do {
    if (!mayGrow(mMaxBytes, used, aHeld, aWanted)) {
      ++mRefusals;
      return false;
    }
  } while (!mUsed.compare_exchange_weak(used, used - aHeld + aWanted));
  return true;
}

void
BodyMemory::resize(std::size_t aHeld, std::size_t aWanted)
{
  mUsed += aWanted - aHeld;
}

}

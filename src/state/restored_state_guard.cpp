#include "radishroad/state/restored_state_guard.h"

namespace radishroad {

namespace {

/// Generation of a store that was never restored.
constexpr std::uint64_t kFirstGeneration = 1;

}

RestoredStateGuard::Base
RestoredStateGuard::choose(const CellState& aStored,
                           std::uint64_t aGeneration,
                           const CellState& aKnown,
                           Millis aNow)
{
  const bool isCopy =
    aGeneration > kFirstGeneration && aStored.mStoreGeneration < aGeneration;
  if (aKnown.mNextOffset > aStored.mNextOffset) {
    return Base::Known;
  }
  // A known state that the copy contains was in force when the store was lost.
  const bool isKnown =
    aKnown.mNextOffset > 0 && aKnown.mNextOffset == aStored.mNextOffset;
  if (!isCopy || isKnown) {
    return Base::Stored;
  }
  if (mGeneration != aGeneration || !mSeenAt) {
    mGeneration = aGeneration;
    mSeenAt = aNow;
  }
  return aNow - *mSeenAt < kRewriteTime ? Base::Undecided : Base::Stored;
}

}

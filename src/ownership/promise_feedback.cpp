#include "radishroad/ownership/promise_feedback.h"

namespace radishroad {

bool
PromiseFeedback::shouldPromise(LeaseLabel aLabel,
                               Millis aHeardSentAt,
                               Millis aNow)
{
  Entry& entry = mEntries[aLabel];
  if (aHeardSentAt > entry.mHeard) {
    entry = Entry{ aHeardSentAt, 0, std::nullopt };
    return true;
  }
  if (entry.mHoldBackUntil) {
    if (aNow < *entry.mHoldBackUntil) {
      return false;
    }
    entry.mHoldBackUntil.reset();
    entry.mUnheard = 0;
    return true;
  }
  ++entry.mUnheard;
  if (entry.mUnheard < kUnheardRenewals) {
    return true;
  }
  entry.mHoldBackUntil = aNow + kHoldBackFor;
  return false;
}

void
PromiseFeedback::forgetExcept(const std::function<bool(LeaseLabel)>& aIsNeeded)
{
  std::erase_if(mEntries, [&aIsNeeded](const auto& aEntry) {
    return !aIsNeeded(aEntry.first);
  });
}

}

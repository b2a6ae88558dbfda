#include "radishroad/ownership/promise_feedback.h"

namespace radishroad {

bool
PromiseFeedback::shouldPromise(const ReceivedRenewal& aRenewal)
{
  Entry& entry = mEntries[aRenewal.mLabel];
  if (aRenewal.mHeardSentAt > entry.mHeard) {
    entry = Entry{ aRenewal.mHeardSentAt, 0 };
    return true;
  }
  ++entry.mUnheard;
  return entry.mUnheard < kUnheardRenewals;
}

void
PromiseFeedback::forgetIf(const std::function<bool(LeaseLabel)>& aIsStale)
{
  std::erase_if(mEntries, [&aIsStale](const auto& aEntry) {
    return aIsStale(aEntry.first);
  });
}

}

#include "radishroad/ownership/promise_feedback.h"

namespace radishroad {

bool
PromiseFeedback::shouldPromise(const ReceivedRenewal& aRenewal)
{
  Entry& entry = mEntries[aRenewal.mLeaseId];
  if (aRenewal.mAckedSentAt > entry.mLastAckedSentAt) {
    entry = Entry{ aRenewal.mAckedSentAt, 0 };
    return true;
  }
  ++entry.mUnackedCount;
  return entry.mUnackedCount < kUnackedRenewalLimit;
}

void
PromiseFeedback::removeIf(const std::function<bool(LeaseId)>& aIsStale)
{
  std::erase_if(mEntries, [&aIsStale](const auto& aEntry) {
    return aIsStale(aEntry.first);
  });
}

}

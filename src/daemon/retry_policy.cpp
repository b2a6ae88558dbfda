#include "radishroad/daemon/retry_policy.h"

namespace radishroad {

void
RetryPolicy::onReport(const wire::CrashReportT& aReport, Millis aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mQuarantine.onReport(aReport, aNow);
}

bool
RetryPolicy::isQuarantined(std::uint64_t aFingerprint, Millis aNow) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mQuarantine.isQuarantined(aFingerprint, aNow);
}

void
RetryPolicy::onRequest()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBudget.onRequest();
}

bool
RetryPolicy::mayRetry(Millis aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mBudget.tryRetry(aNow);
}

}

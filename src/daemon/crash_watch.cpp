#include "radishroad/daemon/crash_watch.h"

namespace radishroad {

void
CrashWatch::onReport(const wire::CrashReportT& aReport, Millis aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mQuarantine.onReport(aReport, aNow);
}

bool
CrashWatch::isQuarantined(std::uint64_t aFingerprint, Millis aNow) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mQuarantine.isQuarantined(aFingerprint, aNow);
}

void
CrashWatch::onRequest()
{
  std::lock_guard<std::mutex> lock(mMutex);
  mBudget.onRequest();
}

bool
CrashWatch::mayRetry(Millis aNow)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mBudget.tryRetry(aNow);
}

}

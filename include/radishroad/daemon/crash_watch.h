#ifndef RADISHROAD_DAEMON_CRASH_WATCH_H
#define RADISHROAD_DAEMON_CRASH_WATCH_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/quarantine.h"
#include "radishroad/policy/retry_budget.h"

#include <mutex>

namespace radishroad {

/// What the request path asks before it runs a request again: is it one that
/// crashes upstreams, and is there budget for a retry? Any thread.
class CrashWatch
{
public:
  CrashWatch() = default;
  explicit CrashWatch(RetryBudget::Bounds aRetries)
    : mBudget(aRetries)
  {
  }

  void onReport(const wire::CrashReportT& aReport, Millis aNow);
  bool isQuarantined(std::uint64_t aFingerprint, Millis aNow) const;
  void onRequest();
  bool mayRetry(Millis aNow);

private:
  /// Retries for each request, in the long run.
  static constexpr double kRetryRatio = 0.1;

  mutable std::mutex mMutex;
  Quarantine mQuarantine;
  RetryBudget mBudget{ kRetryRatio };
};

}

#endif

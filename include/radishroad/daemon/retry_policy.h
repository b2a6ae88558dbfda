#ifndef RADISHROAD_DAEMON_RETRY_POLICY_H
#define RADISHROAD_DAEMON_RETRY_POLICY_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/quarantine.h"
#include "radishroad/policy/retry_budget.h"

#include <mutex>

namespace radishroad {

/// Quarantine of the requests that crash upstreams, and budget for retries.
/// Thread-safe.
class RetryPolicy
{
public:
  RetryPolicy() = default;
  explicit RetryPolicy(RetryBudget::Options aOptions)
    : mBudget(aOptions)
  {
  }

  void onReport(const wire::CrashReportT& aReport, Millis aNow);
  bool isQuarantined(std::uint64_t aFingerprint, Millis aNow) const;
  void onRequest();
  bool mayRetry(Millis aNow);

private:
  /// Retries per request in the long run.
  static constexpr double kRetryRatio = 0.1;

  mutable std::mutex mMutex;
  Quarantine mQuarantine;
  RetryBudget mBudget{ kRetryRatio };
};

}

#endif

#include "support/invariants.h"

#include <algorithm>

namespace radishroad::test {

namespace {

using tools::LoadRequest;
using tools::LoadResult;
using RunsByKey = std::map<std::string, std::vector<const RequestRun*>>;

/// Runs by key, ordered by start time.
RunsByKey
runsByKey(std::span<const RequestRun> aRuns)
{
  RunsByKey runsByKey;
  for (const RequestRun& run : aRuns) {
    runsByKey[run.mService + "/" + run.mKey].push_back(&run);
  }
  for (auto& [key, runs] : runsByKey) {
    std::stable_sort(runs.begin(),
                     runs.end(),
                     [](const RequestRun* aFirst, const RequestRun* aSecond) {
                       return aFirst->mStartMs < aSecond->mStartMs;
                     });
  }
  return runsByKey;
}

std::string
toText(const RequestRun& aRun)
{
  return aRun.mVm + " epoch " + std::to_string(aRun.mEpoch) + " from " +
         std::to_string(aRun.mStartMs) + " to " + std::to_string(aRun.mEndMs) +
         " " + aRun.mMethod + " " + aRun.mTarget;
}

/// The path and query of a request's URL.
std::string
targetOf(const LoadRequest& aRequest)
{
  constexpr std::size_t kSchemeEnd = std::string_view("http://").size();
  const std::size_t path = aRequest.mUrl.find('/', kSchemeEnd);
  return aRequest.mUrl.substr(path);
}

std::map<std::string, int>
countRunsByRequest(std::span<const RequestRun> aRuns)
{
  std::map<std::string, int> counts;
  for (const RequestRun& run : aRuns) {
    ++counts[requestIdentity(run.mMethod, run.mTarget)];
  }
  return counts;
}

}

std::string
requestIdentity(const std::string& aMethod, const std::string& aTarget)
{
  const std::size_t query = aTarget.find('?');
  const std::string path = aTarget.substr(0, query);
  if (query == std::string::npos) {
    return aMethod + " " + path;
  }
  std::string n = "&" + aTarget.substr(query + 1);
  const std::size_t start = n.find("&n=");
  n = start == std::string::npos ? n : n.substr(start + 1);
  return aMethod + " " + path + "?" + n.substr(0, n.find('&'));
}

std::string
requestIdentity(const LoadRequest& aRequest)
{
  return requestIdentity(aRequest.mMethod, targetOf(aRequest));
}

Violations
findOwnerOverlaps(std::span<const RequestRun> aRuns)
{
  Violations violations;
  for (const auto& [key, runs] : runsByKey(aRuns)) {
    // For each VM, the run with the latest end so far.
    std::map<std::string, const RequestRun*> latestByVm;
    for (const RequestRun* run : runs) {
      for (const auto& [vm, latest] : latestByVm) {
        if (vm != run->mVm && latest->mEndMs > run->mStartMs) {
          violations.push_back("two owners of " + key + ": " + toText(*latest) +
                               " and " + toText(*run));
        }
      }
      const RequestRun*& latest = latestByVm[run->mVm];
      if (latest == nullptr || run->mEndMs > latest->mEndMs) {
        latest = run;
      }
    }
  }
  return violations;
}

Violations
findEpochRegressions(std::span<const RequestRun> aRuns)
{
  Violations violations;
  for (const auto& [key, runs] : runsByKey(aRuns)) {
    const RequestRun* latest = nullptr;
    for (const RequestRun* run : runs) {
      const bool isLower = latest && run->mEpoch < latest->mEpoch;
      const bool isShared =
        latest && run->mVm != latest->mVm && run->mEpoch == latest->mEpoch;
      if (isLower || isShared) {
        violations.push_back("epochs of " + key + ": " + toText(*latest) +
                             " before " + toText(*run));
      }
      latest = run;
    }
  }
  return violations;
}

Violations
findRepeatedRuns(std::span<const RequestRun> aRuns)
{
  Violations violations;
  for (const auto& [identity, n] : countRunsByRequest(aRuns)) {
    if (n > 1 && !identity.starts_with("GET ")) {
      violations.push_back(identity + " ran " + std::to_string(n) + " times");
    }
  }
  return violations;
}

Violations
findRunsReportedNotRun(std::span<const LoadResult> aResults,
                       std::span<const RequestRun> aRuns)
{
  Violations violations;
  const std::map<std::string, int> counts = countRunsByRequest(aRuns);
  for (const LoadResult& result : aResults) {
    const std::string identity = requestIdentity(result.mRequest);
    if (result.mOutcome == "not-run" && counts.contains(identity)) {
      violations.push_back("reported as not run, but ran: " + identity +
                           " id " + result.mRequestId);
    }
  }
  return violations;
}

Violations
findMismatchedAnswers(std::span<const LoadResult> aResults,
                      std::span<const RequestRun> aRuns)
{
  Violations violations;
  const std::map<std::string, int> counts = countRunsByRequest(aRuns);
  for (const LoadResult& result : aResults) {
    if (result.mStatus != 200) {
      continue;
    }
    const std::string identity = requestIdentity(result.mRequest);
    if (result.mTag != std::to_string(result.mRequest.mTag)) {
      violations.push_back("answer belongs to another request: " + identity +
                           " got tag " + result.mTag);
    }
    if (!counts.contains(identity)) {
      violations.push_back("answered, but in no journal: " + identity);
    }
  }
  return violations;
}

Violations
findForwardedCallerKeys(std::span<const RequestRun> aRuns)
{
  Violations violations;
  for (const RequestRun& run : aRuns) {
    if (run.mCallerKeySeen) {
      violations.push_back("caller key reached the upstream: " + toText(run));
    }
  }
  return violations;
}

Violations
findRunsAfter(std::span<const RequestRun> aRuns,
              const std::set<std::string>& aVms,
              std::int64_t aWallMs)
{
  Violations violations;
  for (const RequestRun& run : aRuns) {
    if (aVms.contains(run.mVm) && run.mStartMs > aWallMs) {
      violations.push_back("run started " +
                           std::to_string(run.mStartMs - aWallMs) +
                           " ms after the limit: " + toText(run));
    }
  }
  return violations;
}

Violations
findUnansweredRequests(std::span<const LoadResult> aResults)
{
  Violations violations;
  for (const LoadResult& result : aResults) {
    if (result.mStatus != 200) {
      violations.push_back(
        result.mRequest.mMethod + " " + result.mRequest.mUrl + ": status " +
        std::to_string(result.mStatus) + " " + result.mOutcome + " " +
        result.mError + " " + result.mBody);
    }
  }
  return violations;
}

std::string
keyOf(const LoadRequest& aRequest)
{
  const std::string target = targetOf(aRequest);
  return target.substr(0, target.find('?'));
}

std::map<std::string, std::int64_t>
unavailabilityByKey(std::span<const LoadResult> aResults)
{
  struct Attempt
  {
    std::int64_t mSentMs = 0;
    std::int64_t mEndedMs = 0;
    bool mAnswered = false;
  };
  std::map<std::string, std::vector<Attempt>> attempts;
  for (const LoadResult& result : aResults) {
    const auto latency = static_cast<std::int64_t>(result.mLatencyMs);
    attempts[keyOf(result.mRequest)].push_back({ result.mEndedWallMs - latency,
                                                 result.mEndedWallMs,
                                                 result.mStatus == 200 });
  }
  std::map<std::string, std::int64_t> unavailability;
  for (auto& [key, keyAttempts] : attempts) {
    std::stable_sort(keyAttempts.begin(),
                     keyAttempts.end(),
                     [](const Attempt& aFirst, const Attempt& aSecond) {
                       return aFirst.mSentMs < aSecond.mSentMs;
                     });
    std::int64_t recoveredMs = kNeverRecovered;
    for (auto it = keyAttempts.rbegin(); it != keyAttempts.rend(); ++it) {
      if (it->mAnswered) {
        recoveredMs = std::min(recoveredMs, it->mEndedMs);
      }
      const std::int64_t time = recoveredMs == kNeverRecovered
                                  ? kNeverRecovered
                                  : recoveredMs - it->mSentMs;
      unavailability[key] = std::max(unavailability[key], time);
    }
  }
  return unavailability;
}

}

#include "support/judge.h"

#include <algorithm>

namespace radishroad::test {

namespace {

using tools::LoadRequest;
using tools::LoadResult;
using RunsByKey = std::map<std::string, std::vector<const Run*>>;

/// Runs of each key in order of their start.
RunsByKey
byKey(std::span<const Run> aRuns)
{
  RunsByKey byKey;
  for (const Run& run : aRuns) {
    byKey[run.mService + "/" + run.mKey].push_back(&run);
  }
  for (auto& [key, runs] : byKey) {
    std::stable_sort(
      runs.begin(), runs.end(), [](const Run* aFirst, const Run* aSecond) {
        return aFirst->mStartMs < aSecond->mStartMs;
      });
  }
  return byKey;
}

std::string
toText(const Run& aRun)
{
  return aRun.mVm + " epoch " + std::to_string(aRun.mEpoch) + " from " +
         std::to_string(aRun.mStartMs) + " to " + std::to_string(aRun.mEndMs) +
         " " + aRun.mMethod + " " + aRun.mTarget;
}

/// The path and query of a URL.
std::string
targetOf(const LoadRequest& aRequest)
{
  constexpr std::size_t kSchemeEnd = std::string_view("http://").size();
  const std::size_t path = aRequest.mUrl.find('/', kSchemeEnd);
  return aRequest.mUrl.substr(path);
}

/// Method, path and the query n of a request, which is its own. An upstream
/// may show the parts of a query in another order.
std::string
markOf(const std::string& aMethod, const std::string& aTarget)
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
markOf(const LoadRequest& aRequest)
{
  return markOf(aRequest.mMethod, targetOf(aRequest));
}

std::map<std::string, int>
runsByMark(std::span<const Run> aRuns)
{
  std::map<std::string, int> counts;
  for (const Run& run : aRuns) {
    ++counts[markOf(run.mMethod, run.mTarget)];
  }
  return counts;
}

}

Faults
judgeOneOwner(std::span<const Run> aRuns)
{
  Faults faults;
  for (const auto& [key, runs] : byKey(aRuns)) {
    // The run that ends last so far on each VM.
    std::map<std::string, const Run*> lastByVm;
    for (const Run* run : runs) {
      for (const auto& [vm, last] : lastByVm) {
        if (vm != run->mVm && last->mEndMs > run->mStartMs) {
          faults.push_back("two owners of " + key + ": " + toText(*last) +
                           " and " + toText(*run));
        }
      }
      const Run*& last = lastByVm[run->mVm];
      if (last == nullptr || run->mEndMs > last->mEndMs) {
        last = run;
      }
    }
  }
  return faults;
}

Faults
judgeEpochs(std::span<const Run> aRuns)
{
  Faults faults;
  for (const auto& [key, runs] : byKey(aRuns)) {
    const Run* last = nullptr;
    for (const Run* run : runs) {
      const bool falls = last && run->mEpoch < last->mEpoch;
      const bool shared =
        last && run->mVm != last->mVm && run->mEpoch == last->mEpoch;
      if (falls || shared) {
        faults.push_back("epochs of " + key + ": " + toText(*last) +
                         " before " + toText(*run));
      }
      last = run;
    }
  }
  return faults;
}

Faults
judgeAtMostOnce(std::span<const Run> aRuns)
{
  Faults faults;
  for (const auto& [mark, n] : runsByMark(aRuns)) {
    if (n > 1 && !mark.starts_with("GET ")) {
      faults.push_back(mark + " ran " + std::to_string(n) + " times");
    }
  }
  return faults;
}

Faults
judgeNotRun(std::span<const LoadResult> aResults, std::span<const Run> aRuns)
{
  Faults faults;
  const std::map<std::string, int> counts = runsByMark(aRuns);
  for (const LoadResult& result : aResults) {
    const std::string mark = markOf(result.mRequest);
    if (result.mOutcome == "not-run" && counts.contains(mark)) {
      faults.push_back("told not run, but it ran: " + mark + " id " +
                       result.mRequestId);
    }
  }
  return faults;
}

Faults
judgeAnswers(std::span<const LoadResult> aResults, std::span<const Run> aRuns)
{
  Faults faults;
  const std::map<std::string, int> counts = runsByMark(aRuns);
  for (const LoadResult& result : aResults) {
    if (result.mStatus != 200) {
      continue;
    }
    const std::string mark = markOf(result.mRequest);
    if (result.mTag != std::to_string(result.mRequest.mTag)) {
      faults.push_back("answer of another request: " + mark + " got tag " +
                       result.mTag);
    }
    if (!counts.contains(mark)) {
      faults.push_back("answered, but never ran: " + mark);
    }
  }
  return faults;
}

Faults
judgeCallerKeys(std::span<const Run> aRuns)
{
  Faults faults;
  for (const Run& run : aRuns) {
    if (run.mCallerKeySeen) {
      faults.push_back("caller's key seen: " + toText(run));
    }
  }
  return faults;
}

Faults
judgeNoWorkAfter(std::span<const Run> aRuns,
                 const std::set<std::string>& aVms,
                 std::int64_t aWallMs)
{
  Faults faults;
  for (const Run& run : aRuns) {
    if (aVms.contains(run.mVm) && run.mStartMs > aWallMs) {
      faults.push_back("work " + std::to_string(run.mStartMs - aWallMs) +
                       " ms after the time: " + toText(run));
    }
  }
  return faults;
}

Faults
judgeAllAnswered(std::span<const LoadResult> aResults)
{
  Faults faults;
  for (const LoadResult& result : aResults) {
    if (result.mStatus != 200) {
      faults.push_back(result.mRequest.mMethod + " " + result.mRequest.mUrl +
                       ": status " + std::to_string(result.mStatus) + " " +
                       result.mOutcome + " " + result.mError + " " +
                       result.mBody);
    }
  }
  return faults;
}

std::string
keyOf(const LoadRequest& aRequest)
{
  const std::string target = targetOf(aRequest);
  return target.substr(0, target.find('?'));
}

std::map<std::string, std::int64_t>
unavailableTime(std::span<const LoadResult> aResults)
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
  std::map<std::string, std::int64_t> times;
  for (auto& [key, list] : attempts) {
    std::stable_sort(list.begin(),
                     list.end(),
                     [](const Attempt& aFirst, const Attempt& aSecond) {
                       return aFirst.mSentMs < aSecond.mSentMs;
                     });
    std::int64_t back = kNeverBack;
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
      if (it->mAnswered) {
        back = std::min(back, it->mEndedMs);
      }
      const std::int64_t time =
        back == kNeverBack ? kNeverBack : back - it->mSentMs;
      times[key] = std::max(times[key], time);
    }
  }
  return times;
}

}

#include "rr-load/schedule.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace radishroad::tools {

namespace {

/// A tag consists of the thread, the workspace and the sequence number of the
/// request.
constexpr unsigned kWorkspaceShift = 40;
constexpr unsigned kThreadShift = 56;
constexpr std::uint64_t kWorkspaceMask = 0xFFFF;

/// Zipf weights of the ranks 1 to aCount; all equal if aExponent is 0.
std::vector<double>
zipfWeights(std::size_t aCount, double aExponent)
{
  std::vector<double> weights;
  for (std::size_t rank = 1; rank <= aCount; ++rank) {
    weights.push_back(std::pow(static_cast<double>(rank), -aExponent));
  }
  return weights;
}

template<typename Distribution>
Distribution
zipf(std::size_t aCount, double aExponent)
{
  const std::vector<double> weights = zipfWeights(aCount, aExponent);
  return Distribution(weights.begin(), weights.end());
}

std::string
replaceKeyPlaceholder(std::string aPath, int aKey)
{
  constexpr std::string_view kPlaceholder = "{key}";
  const std::size_t at = aPath.find(kPlaceholder);
  if (at != std::string::npos) {
    aPath.replace(at, kPlaceholder.size(), "key-" + std::to_string(aKey));
  }
  return aPath;
}

}

Schedule::Schedule(const LoadOptions& aOptions,
                   int aThread,
                   LoadRequest::TimePoint aStart)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed * 1000003 + static_cast<std::uint64_t>(aThread))
  , mKeys(zipf<std::discrete_distribution<int>>(
      static_cast<std::size_t>(aOptions.mKeys),
      aOptions.mKeyZipf))
  , mWorkspaces(zipf<std::discrete_distribution<std::size_t>>(
      std::max<std::size_t>(aOptions.mCallerKeys.size(), 1),
      aOptions.mWorkspaceZipf))
  , mInterArrivalTimes(static_cast<double>(aOptions.mRate) / aOptions.mThreads)
  , mStart(aStart)
  , mNextSendTime(static_cast<double>(aThread) / aOptions.mRate)
  , mThread(static_cast<std::uint64_t>(aThread))
{
}

Schedule::Duration
Schedule::interArrivalTime()
{
  if (mOptions.mPoisson) {
    return Duration(mInterArrivalTimes(mRandom));
  }
  return Duration(static_cast<double>(mOptions.mThreads) / mOptions.mRate);
}

std::optional<LoadRequest>
Schedule::next()
{
  if (mNextSendTime.count() >= mOptions.mSeconds + mOptions.mWarmUpSeconds) {
    return std::nullopt;
  }
  const std::size_t workspace = mWorkspaces(mRandom);
  const std::size_t target = mRandom() % mOptions.mTargets.size();
  LoadRequest request;
  request.mSendAt =
    mStart + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
               mNextSendTime);
  mNextSendTime += interArrivalTime();
  request.mTag = (mThread << kThreadShift) |
                 (std::uint64_t{ workspace } << kWorkspaceShift) | ++mSent;
  request.mMethod = mOptions.mMethod;
  request.mUrl = "http://" + mOptions.mTargets[target] +
                 replaceKeyPlaceholder(mOptions.mPath, mKeys(mRandom)) +
                 "?n=" + std::to_string(request.mTag);
  if (!mOptions.mQuery.empty()) {
    request.mUrl += "&" + mOptions.mQuery;
  }
  if (!mOptions.mCallerKeys.empty()) {
    request.mHeaders.push_back("Authorization: Bearer " +
                               mOptions.mCallerKeys[workspace]);
  }
  request.mBody.assign(static_cast<std::size_t>(mOptions.mBodyBytes), 'x');
  request.mTimeout = Millis{ mOptions.mTimeoutMs };
  return request;
}

std::size_t
Schedule::workspaceOf(const LoadRequest& aRequest) const
{
  return (aRequest.mTag >> kWorkspaceShift) & kWorkspaceMask;
}

bool
Schedule::isMeasured(const LoadRequest& aRequest) const
{
  return aRequest.mSendAt - mStart >=
         std::chrono::seconds(mOptions.mWarmUpSeconds);
}

}

#include "support/traffic.h"

#include <utility>

namespace radishroad::test {

using tools::LoadEngine;
using tools::LoadRequest;
using tools::LoadResult;

Traffic::Traffic(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mStart(std::chrono::steady_clock::now())
{
  mThread = std::thread([this] {
    LoadEngine engine({ .mMaxConnections = 256,
                        .mLimitConnections = false,
                        .mKeepBodies = true });
    engine.run(
      [this] { return nextRequest(); },
      [this](LoadResult aResult) { mResults.push_back(std::move(aResult)); });
  });
}

Traffic::~Traffic()
{
  if (mThread.joinable()) {
    stop();
  }
}

std::vector<LoadResult>
Traffic::stop()
{
  mStopping = true;
  mThread.join();
  return std::exchange(mResults, {});
}

std::optional<LoadRequest>
Traffic::nextRequest()
{
  if (mStopping) {
    return std::nullopt;
  }
  const std::size_t getCount = mOptions.mGetPaths.size();
  const std::size_t pathCount = getCount + mOptions.mPostPaths.size();
  const std::size_t index = mRandom() % pathCount;
  const std::size_t ingress = mRandom() % mOptions.mIngressAddresses.size();
  LoadRequest request;
  request.mTag = ++mSentCount;
  const std::chrono::microseconds interval(1000000 /
                                           mOptions.mRequestsPerSecond);
  request.mSendAt = mStart + interval * static_cast<std::int64_t>(mSentCount);
  const std::string& path = index < getCount
                              ? mOptions.mGetPaths[index]
                              : mOptions.mPostPaths[index - getCount];
  request.mMethod = index < getCount ? "GET" : "POST";
  request.mUrl = "http://" + mOptions.mIngressAddresses[ingress] + path +
                 "?n=" + std::to_string(mOptions.mSeed) + "-" +
                 std::to_string(mSentCount);
  if (!mOptions.mQuery.empty()) {
    request.mUrl += "&" + mOptions.mQuery;
  }
  request.mBody = index < getCount ? "" : "order " + std::to_string(mSentCount);
  request.mHeaders = { "Authorization: Bearer " + mOptions.mCallerKey };
  request.mTimeout = mOptions.mTimeout;
  return request;
}

}

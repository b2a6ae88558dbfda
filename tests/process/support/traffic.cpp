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
      [this] { return next(); },
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
Traffic::next()
{
  if (mStopping) {
    return std::nullopt;
  }
  const std::size_t gets = mOptions.mGets.size();
  const std::size_t n = gets + mOptions.mPosts.size();
  const std::size_t index = mRandom() % n;
  const std::size_t ingress = mRandom() % mOptions.mIngresses.size();
  LoadRequest request;
  request.mTag = ++mSent;
  const std::chrono::microseconds interval(1000000 / mOptions.mPerSecond);
  request.mSendAt = mStart + interval * static_cast<std::int64_t>(mSent);
  const std::string& path =
    index < gets ? mOptions.mGets[index] : mOptions.mPosts[index - gets];
  request.mMethod = index < gets ? "GET" : "POST";
  request.mUrl = "http://" + mOptions.mIngresses[ingress] + path +
                 "?n=" + std::to_string(mOptions.mSeed) + "-" +
                 std::to_string(mSent);
  if (!mOptions.mQuery.empty()) {
    request.mUrl += "&" + mOptions.mQuery;
  }
  request.mBody = index < gets ? "" : "order " + std::to_string(mSent);
  request.mHeaders = { "Authorization: Bearer " + mOptions.mCallerKey };
  request.mTimeout = mOptions.mTimeout;
  return request;
}

}

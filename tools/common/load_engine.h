#ifndef RADISHROAD_TOOLS_COMMON_LOAD_ENGINE_H
#define RADISHROAD_TOOLS_COMMON_LOAD_ENGINE_H

#include "radishroad/base/millis.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishroad::tools {

/// One request to send at a set time, whatever became of those before it.
struct LoadRequest
{
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Sent as X-Load-Tag; the answer must bear the same.
  std::uint64_t mTag = 0;
  TimePoint mSendAt;
  std::string mUrl;
  std::string mMethod = "GET";
  std::string mBody;
  std::vector<std::string> mHeaders;
  Millis mTimeout{ 5000 };
};

/// What became of a request.
struct LoadResult
{
  LoadRequest mRequest;
  /// From the time at which the request was to be sent.
  double mLatencyMs = 0;
  std::int64_t mEndedWallMs = 0;
  /// 0 if no whole answer came.
  int mStatus = 0;
  std::string mOutcome;
  std::string mRequestId;
  std::string mUpstreamVm;
  std::string mTag;
  std::string mBody;
  std::string mError;
};

/// Sends requests at their times over pooled connections, by libcurl (multi),
/// on the caller's thread. It repeats none.
class LoadEngine
{
public:
  /// The next request in order of time; none ends the run.
  using SourceFn = std::function<std::optional<LoadRequest>()>;
  using ResultFn = std::function<void(LoadResult)>;

  struct Options
  {
    std::size_t mMaxConnections = 256;
    /// Opens no more than mMaxConnections; else that many are kept for reuse.
    bool mBoundConnections = false;
    /// Keeps the bodies of answers.
    bool mKeepBodies = false;
  };

  explicit LoadEngine(Options aOptions);
  ~LoadEngine();
  LoadEngine(const LoadEngine&) = delete;
  LoadEngine& operator=(const LoadEngine&) = delete;

  /// Returns once the source has ended and all answers are in.
  void run(const SourceFn& aSource, const ResultFn& aOnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

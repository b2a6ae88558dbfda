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

/// One request to send at a fixed time, independently of the results of earlier
/// requests.
struct LoadRequest
{
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Sent as X-Load-Tag; the response must carry the same value.
  std::uint64_t mTag = 0;
  TimePoint mSendAt;
  std::string mUrl;
  std::string mMethod = "GET";
  std::string mBody;
  std::vector<std::string> mHeaders;
  Millis mTimeout{ 5000 };
};

/// The result of a request.
struct LoadResult
{
  LoadRequest mRequest;
  /// Measured from the time at which the request was due to be sent.
  double mLatencyMs = 0;
  std::int64_t mEndedWallMs = 0;
  /// 0 if no complete response arrived.
  int mStatus = 0;
  std::string mOutcome;
  std::string mRequestId;
  std::string mUpstreamVm;
  std::string mTag;
  std::string mBody;
  std::string mError;
};

/// Sends requests at their scheduled times over pooled connections, with
/// libcurl's multi interface, on the caller's thread. Requests are not retried.
class LoadEngine
{
public:
  /// Returns the next request in order of time; nullopt ends the run.
  using SourceFn = std::function<std::optional<LoadRequest>()>;
  using ResultFn = std::function<void(LoadResult)>;

  struct Options
  {
    std::size_t mMaxConnections = 256;
    /// Opens at most mMaxConnections. Otherwise the number of open connections
    /// is not limited, and mMaxConnections are kept for reuse.
    bool mLimitConnections = false;
    /// Stores response bodies in the results.
    bool mKeepBodies = false;
  };

  explicit LoadEngine(Options aOptions);
  ~LoadEngine();
  LoadEngine(const LoadEngine&) = delete;
  LoadEngine& operator=(const LoadEngine&) = delete;

  /// Returns once the source has ended and all requests have completed.
  void run(const SourceFn& aSource, const ResultFn& aOnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

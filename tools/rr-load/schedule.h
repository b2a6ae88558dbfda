#ifndef RADISHROAD_TOOLS_RR_LOAD_SCHEDULE_H
#define RADISHROAD_TOOLS_RR_LOAD_SCHEDULE_H

#include "common/load_engine.h"
#include "rr-load/options.h"

#include <optional>
#include <random>
#include <string>

namespace radishroad::tools {

/// One thread's share of the requests, in order of time. The same seed gives
/// the same requests.
class Schedule
{
public:
  Schedule(const LoadOptions& aOptions,
           int aThread,
           LoadRequest::TimePoint aStart);

  std::optional<LoadRequest> next();
  /// Index of the caller's key that a request was given.
  std::size_t workspaceOf(const LoadRequest& aRequest) const;
  /// Whether the request was to be sent after the warm-up.
  bool isCounted(const LoadRequest& aRequest) const;

private:
  using Duration = std::chrono::duration<double>;

  Duration gap();

  const LoadOptions& mOptions;
  std::mt19937_64 mRandom;
  std::discrete_distribution<int> mKeys;
  std::discrete_distribution<std::size_t> mWorkspaces;
  std::exponential_distribution<double> mGaps;
  LoadRequest::TimePoint mStart;
  Duration mAt;
  std::uint64_t mSent = 0;
  std::uint64_t mThread;
};

}

#endif

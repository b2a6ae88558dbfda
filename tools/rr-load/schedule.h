#ifndef RADISHROAD_TOOLS_RR_LOAD_SCHEDULE_H
#define RADISHROAD_TOOLS_RR_LOAD_SCHEDULE_H

#include "common/load_engine.h"
#include "rr-load/options.h"

#include <optional>
#include <random>
#include <string>

namespace radishroad::tools {

/// The requests of one thread, in order of time. The same seed produces the
/// same requests.
class Schedule
{
public:
  Schedule(const LoadOptions& aOptions,
           int aThread,
           LoadRequest::TimePoint aStart);

  std::optional<LoadRequest> next();
  /// Index of the caller key of a request.
  std::size_t workspaceOf(const LoadRequest& aRequest) const;
  /// Whether the request was scheduled after the warm-up.
  bool isMeasured(const LoadRequest& aRequest) const;

private:
  using Duration = std::chrono::duration<double>;

  Duration interArrivalTime();

  const LoadOptions& mOptions;
  std::mt19937_64 mRandom;
  std::discrete_distribution<int> mKeys;
  std::discrete_distribution<std::size_t> mWorkspaces;
  std::exponential_distribution<double> mInterArrivalTimes;
  LoadRequest::TimePoint mStart;
  Duration mNextSendTime;
  std::uint64_t mSent = 0;
  std::uint64_t mThread;
};

}

#endif

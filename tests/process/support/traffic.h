#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_TRAFFIC_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_TRAFFIC_H

#include "common/load_engine.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace radishroad::test {

/// Requests for a set of keys at a steady rate, on a thread of its own, from
/// construction to stop(). Each target has a query of its own, so that its
/// runs can be counted in the journals.
class Traffic
{
public:
  struct Options
  {
    /// "ip:port" of the callers' ports to send to, chosen at random.
    std::vector<std::string> mIngressAddresses;
    /// Paths of requests that are idempotent, and of such that are not.
    std::vector<std::string> mGetPaths;
    std::vector<std::string> mPostPaths;
    std::string mCallerKey = "guild-key-1";
    int mRequestsPerSecond = 400;
    Millis mTimeout{ 3000 };
    std::uint64_t mSeed = 1;
    /// Added to each query, as "ms=20".
    std::string mQuery;
  };

  explicit Traffic(Options aOptions);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Waits for the answers under way, then hands over all results.
  std::vector<tools::LoadResult> stop();

private:
  std::optional<tools::LoadRequest> nextRequest();

  Options mOptions;
  std::mt19937_64 mRandom;
  std::uint64_t mSentCount = 0;
  std::chrono::steady_clock::time_point mStart;
  std::atomic<bool> mStopping{ false };
  std::vector<tools::LoadResult> mResults;
  std::thread mThread;
};

}

#endif

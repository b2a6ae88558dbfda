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

/// Sends requests for a set of keys at a constant rate on a thread of its own,
/// from construction to stop(). Each request has a unique query, so that its
/// runs can be counted in the journals.
class Traffic
{
public:
  struct Options
  {
    /// "IP:PORT" of the caller ports to send to, chosen at random.
    std::vector<std::string> mIngressAddresses;
    /// Paths of idempotent requests (GET) and of non-idempotent ones (POST).
    std::vector<std::string> mGetPaths;
    std::vector<std::string> mPostPaths;
    std::string mCallerKey = "guild-key-1";
    int mRequestsPerSecond = 400;
    Millis mTimeout{ 3000 };
    std::uint64_t mSeed = 1;
    /// Added to each query, such as "ms=20".
    std::string mQuery;
  };

  explicit Traffic(Options aOptions);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Stops sending, waits for outstanding answers and returns all results.
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

#ifndef RADISHROAD_TOOLS_RR_LOAD_OPTIONS_H
#define RADISHROAD_TOOLS_RR_LOAD_OPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace radishroad::tools {

/// Command-line options of the load generator.
struct LoadOptions
{
  /// "IP:PORT"; the target of each request is chosen at random.
  std::vector<std::string> mTargets;
  /// {key} is replaced by the request's key.
  std::string mPath = "/catalog/{key}/page";
  std::string mMethod = "GET";
  /// Appended to each query string.
  std::string mQuery;
  /// API keys of callers. The key of a request is drawn from a Zipf
  /// distribution with the exponent mWorkspaceZipf.
  std::vector<std::string> mCallerKeys;
  int mRate = 1000;
  int mSeconds = 10;
  /// Requests of the first mWarmUpSeconds are sent but not measured.
  int mWarmUpSeconds = 1;
  int mKeys = 100;
  double mKeyZipf = 0;
  double mWorkspaceZipf = 0;
  int mThreads = 1;
  int mConnections = 100;
  int mIdleConnections = 0;
  int mTimeoutMs = 5000;
  int mBodyBytes = 0;
  bool mPoisson = false;
  std::uint64_t mSeed = 1;
};

}

#endif

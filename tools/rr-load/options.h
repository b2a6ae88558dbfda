#ifndef RADISHROAD_TOOLS_RR_LOAD_OPTIONS_H
#define RADISHROAD_TOOLS_RR_LOAD_OPTIONS_H

#include <cstdint>
#include <string>
#include <vector>

namespace radishroad::tools {

/// What the load tool is told on its command line.
struct LoadOptions
{
  /// "IP:PORT", taken in turn at random.
  std::vector<std::string> mTargets;
  /// "/catalog/{key}/page"; {key} is replaced.
  std::string mPath = "/catalog/{key}/page";
  std::string mMethod = "GET";
  /// Added to each query.
  std::string mQuery;
  /// Callers' keys; a request's is drawn by Zipf's law with mWorkspaceZipf.
  std::vector<std::string> mCallerKeys;
  int mRate = 1000;
  int mSeconds = 10;
  /// Requests of the first seconds are sent but not counted.
  int mWarmUpSeconds = 1;
  int mKeys = 100;
  double mKeyZipf = 0;
  double mWorkspaceZipf = 0;
  int mThreads = 1;
  int mConnections = 100;
  int mHeldConnections = 0;
  int mTimeoutMs = 5000;
  int mBodyBytes = 0;
  bool mPoisson = false;
  std::uint64_t mSeed = 1;
};

}

#endif

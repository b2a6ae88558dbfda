#ifndef RADISHROAD_CONFIG_MODEL_H
#define RADISHROAD_CONFIG_MODEL_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishroad::config {

struct Workspace
{
  std::string mName;
  /// Requests a second over all VMs together.
  double mRatePerSecond = 0;
  /// Requests above the rate that may come at once.
  double mBurst = 0;
  /// SHA-256 of each caller key, 64 hex digits.
  std::vector<std::string> mKeyHashes;
};

struct Service
{
  std::string mName;
  /// The upstreams refuse requests with a stale epoch.
  bool mChecksFence = false;
  /// Longest time that a caller's request may take, waits included.
  Millis mDeadline{ 3000 };
  /// Longest time that a request may run on an upstream. After the loss of an
  /// owner whose upstream checks no fences, the next one waits so long.
  Millis mRunLimit{ 500 };
  /// Upper bound of the concurrency window for each upstream.
  std::uint32_t mMaxInFlight = 64;
  /// Cost of a new connection to an upstream; paces openings.
  Millis mConnectionCost{ 1 };
  /// Cost of a health probe to an upstream; paces probes.
  Millis mProbeCost{ 1 };
};

enum class KeySource
{
  /// The path segment matched by {key}.
  Path,
  Query,
  Header,
};

struct Route
{
  std::string mName;
  /// Empty for all methods, else upper case.
  std::string mMethod;
  /// "/catalog/{key}/page": fixed segments, {key}, or a last "*".
  std::string mPath;
  std::string mService;
  KeySource mKeySource = KeySource::Path;
  /// Query parameter or header that holds the key.
  std::string mKeyName;
  bool mIdempotent = false;
  /// Open to callers without a key.
  bool mOpen = false;
};

struct Zone
{
  std::string mName;
  /// False takes the availability zone out.
  bool mInService = true;
};

/// A checked configuration. Maps are by name.
struct Model
{
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, Service> mServices;
  std::map<std::string, Zone> mZones;
  std::vector<Route> mRoutes;
  /// From key hash to workspace name.
  std::map<std::string, std::string> mWorkspaceOfKey;
};

}

#endif

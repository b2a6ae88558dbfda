#ifndef RADISHROAD_CONFIG_MODEL_H
#define RADISHROAD_CONFIG_MODEL_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishroad::config {

struct Workspace
{
  std::string mName;
  /// Requests a second over all VMs together; 0 for no limit.
  double mRatePerSecond = 0;
  /// Requests above the rate that may come at once.
  double mBurst = 0;
  /// Goes before the rank of its requests' routes.
  std::optional<std::uint8_t> mRank;
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
  /// False: any upstream may run any request.
  bool mKeyed = true;
  /// Path that an upstream answers with its health; empty for the default.
  std::string mHealthPath;
  /// Connections that an upstream takes at once; 0 for no bound.
  std::uint32_t mMaxConnections = 0;
  /// Requests a second that a cold upstream bears; 0 for no bound.
  double mColdPerSecond = 0;
  /// How long an upstream that has just started is cold.
  Millis mColdTime;
  /// How long an upstream serves keys after their last grant; 0 if upstreams
  /// are not granted keys.
  Millis mHoldTime;
  /// Upstreams are told what they hold in answer to their reports, not by
  /// calls.
  bool mGrantsByReport = false;
};

enum class KeySource
{
  /// The path segment matched by {key}.
  Path,
  Query,
  Header,
};

/// A service that takes a share of a route's requests.
struct RouteTarget
{
  std::string mService;
  std::uint32_t mWeight = 1;
};

struct Route
{
  std::string mName;
  /// Host that the request names, and what its path begins with. Both are set
  /// on routes by prefix, which have no mPath and mMethod.
  std::string mHost;
  std::string mPrefix;
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
  /// Services that share the requests by weight; empty for mService alone.
  std::vector<RouteTarget> mTargets;
  /// Longest time that a caller is kept waiting; 0 for the service's.
  Millis mTimeout;
  /// Latency objective: an answer within this time is in time; 0 for none.
  Millis mObjective;
  /// Urgency; 0 goes first.
  std::uint8_t mRank = 0;
  /// Upstreams to which one request may be sent; 0 for no bound.
  std::uint8_t mMaxAttempts = 0;
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

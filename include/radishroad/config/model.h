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
  /// Limit of requests per second over all VMs; 0 for no limit.
  double mRatePerSecond = 0;
  /// Number of requests that may exceed the rate in a burst.
  double mBurst = 0;
  /// Priority rank; more significant than the rank of the route.
  std::optional<std::uint8_t> mPriorityRank;
  /// SHA-256 of each caller key, 64 hex digits.
  std::vector<std::string> mKeyHashes;
};

struct Service
{
  std::string mName;
  /// Upstreams refuse requests with a stale epoch.
  bool mChecksFence = false;
  /// Maximum time that a caller's request may take, including waiting time.
  Millis mDeadline{ 3000 };
  /// Maximum time that a request may run on an upstream. If upstreams do not
  /// check fences, a new owner waits this long after the previous one is lost.
  Millis mRunLimit{ 500 };
  /// Upper limit of the concurrency window of each upstream.
  std::uint32_t mMaxInFlight = 64;
  /// Cost of a new connection to an upstream; limits the rate of new
  /// connections.
  Millis mConnectionCost{ 1 };
  /// Cost of a health probe to an upstream; limits the rate of probes.
  Millis mProbeCost{ 1 };
  /// Whether requests are routed by key. If false, any upstream may run any
  /// request.
  bool mKeyed = true;
  /// Path of the upstreams' health check; empty for the default.
  std::string mHealthPath;
  /// Maximum number of connections to an upstream; 0 for no limit.
  std::uint32_t mMaxConnections = 0;
  /// Limit of requests per second to a cold upstream; 0 for no limit.
  double mColdPerSecond = 0;
  /// How long an upstream is cold after its start (warm-up time).
  Millis mColdTime;
  /// How long an upstream may serve keys after they were last granted; 0 if
  /// keys are not granted to upstreams.
  Millis mHoldTime;
  /// Grants are sent in the answers to upstreams' reports, not by separate
  /// calls.
  bool mGrantsByReport = false;
  /// The gate limits concurrency to what the upstream is found to run well
  /// (policy/adaptive_concurrency.h).
  bool mAdaptiveConcurrency = false;
  /// The gate shares scarce slots among kinds of requests
  /// (policy/room_allocator.h).
  bool mSharesRoom = false;
};

enum class KeySource
{
  /// The path segment matched by {key}.
  Path,
  Query,
  Header,
};

/// A service that receives a weighted share of a route's requests.
struct RouteTarget
{
  std::string mService;
  std::uint32_t mWeight = 1;
};

struct Route
{
  std::string mName;
  /// Host and path prefix that a request must have. Both are set on prefix
  /// routes, which have no mPath and mMethod.
  std::string mHost;
  std::string mPrefix;
  /// Empty for all methods, else upper case.
  std::string mMethod;
  /// Path pattern, such as "/catalog/{key}/page": fixed segments, {key}, and
  /// "*" as the last segment.
  std::string mPath;
  std::string mService;
  KeySource mKeySource = KeySource::Path;
  /// Name of the query parameter or header that contains the key.
  std::string mKeyName;
  bool mIdempotent = false;
  /// Its responses are usually large, so that links limit how many can be sent.
  bool mLargeResponse = false;
  /// Callers need no caller key.
  bool mIsPublic = false;
  /// Services that share the requests by weight; if empty, mService receives
  /// all.
  std::vector<RouteTarget> mTargets;
  /// Maximum time that a caller waits for the answer; 0 for the service's
  /// deadline.
  Millis mTimeout;
  /// Latency objective of an answer; 0 for none.
  Millis mLatencyObjective;
  /// Priority rank; 0 is served first.
  std::uint8_t mPriorityRank = 0;
  /// Maximum number of upstreams to which a request may be sent; 0 for no
  /// limit.
  std::uint8_t mMaxAttempts = 0;
};

struct Zone
{
  std::string mName;
  /// False if the availability zone is out of service.
  bool mInService = true;
};

/// A validated configuration. Maps are keyed by name unless noted otherwise.
struct Model
{
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, Service> mServices;
  std::map<std::string, Zone> mZones;
  std::vector<Route> mRoutes;
  /// Workspace name by key hash.
  std::map<std::string, std::string> mWorkspaceOfKey;
  /// Values that this version does not know, with their location and the
  /// substitute in use.
  std::vector<std::string> mSubstitutions;
  /// Some routes could not be read, so a request that matches no route may be
  /// meant for one of them.
  bool mHasUnreadableRoutes = false;
};

}

#endif

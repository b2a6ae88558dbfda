#ifndef RADISHROAD_DAEMON_SETTINGS_H
#define RADISHROAD_DAEMON_SETTINGS_H

#include "radishroad/base/error.h"
#include "radishroad/base/finding.h"
#include "radishroad/base/json_log.h"
#include "radishroad/base/millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace radishroad {

/// Settings of one daemon. Each has a flag (--caller-address) and an
/// environment variable (RADISHROAD_CALLER_ADDRESS); the flag takes precedence.
struct DaemonSettings
{
  std::string mVm;
  std::string mZone;
  std::string mService;
  std::string mCallerAddress;
  std::string mPeerAddress;
  /// Where peers reach this daemon, if not at mPeerAddress.
  std::string mAdvertisePeerAddress;
  std::string mOperatorAddress;
  std::string mUpstreamAddress;
  std::string mLogAddress;
  std::string mLogLevel = "info";
  std::string mCallerThreads = "2";
  /// "own" for the daemon's own protocol, "platform" for those of the users'
  /// platform.
  std::string mProtocol = "own";
  /// Serves the platform's readiness checks.
  std::string mReadyAddress;
  /// Receives the upstream's reports.
  std::string mReportAddress;
  /// Time limits in milliseconds; see docs/operators.md.
  std::string mStopTimeMs = "25000";
  std::string mDrainTimeMs = "2000";
  std::string mLongestHoldMs = "10000";
  std::string mZoneOutTimeMs = "5000";
  std::string mConfigTimeMs = "2000";
  std::string mMemoryMb = "160";
  std::string mBodyMemoryPercent = "35";
  /// Bandwidth of the VM's link in Mbit/s; empty or 0 if unknown.
  std::string mLinkMbps;
  /// Limits of version roll-outs; see docs/operators.md. Roll-outs are off if
  /// mRolloutShare is empty.
  std::string mRolloutShare;
  std::string mRolloutSlack;
  std::string mRollbackTimeMs;

  LogLevel logLevel() const;
  unsigned callerThreads() const;
  bool isPlatform() const { return mProtocol == "platform"; }
  /// Time from a stop request until the process must have exited.
  Millis stopTime() const;
  /// Time from an upstream's report that it drains until it must get no more
  /// requests.
  Millis drainTime() const;
  /// Longest time for which an upstream may be granted keys.
  Millis longestHold() const;
  /// Time from taking an availability zone out of service until it must get no
  /// more requests.
  Millis zoneOutTime() const;
  /// Time from the store's confirmation of a configuration until it must be in
  /// force.
  Millis configTime() const;
  /// Limit of the bodies of all requests and responses held at a time.
  std::size_t bodyMemoryBytes() const;
  /// Bandwidth of the VM's link; 0 if unknown.
  double linkBytesPerSecond() const;
  bool hasRollouts() const { return !mRolloutShare.empty(); }
  /// Share of a service's requests that a version under roll-out may get, from
  /// 0 to 1.
  double rolloutShare() const;
  /// Requests that it may get beyond its share.
  std::uint32_t rolloutSlack() const;
  /// Time from a version's 50th bad response until it must get no more
  /// requests.
  Millis rollbackTime() const;
};

/// Parsed command line.
struct DaemonCommand
{
  DaemonSettings mSettings;
  /// --check: stop after checking the settings.
  bool mCheckOnly = false;
};

using EnvironmentFn =
  std::function<std::optional<std::string>(const std::string&)>;

/// Reads and validates flags and environment. --help prints the usage and exits
/// with status 0.
tl::expected<DaemonCommand, Findings>
readSettings(int aCount, const char** aArguments, const EnvironmentFn& aGetEnv);

/// Whether the text is a numeric IPv4 address with a port above 0, such as
/// "1.2.3.4:80".
bool
isSocketAddress(const std::string& aText);

}

#endif

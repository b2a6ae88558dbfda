#ifndef RADISHROAD_DAEMON_SETTINGS_H
#define RADISHROAD_DAEMON_SETTINGS_H

#include "radishroad/base/error.h"
#include "radishroad/base/finding.h"
#include "radishroad/base/json_log.h"
#include "radishroad/base/millis.h"

#include <functional>
#include <optional>
#include <string>

namespace radishroad {

/// Settings of one daemon. Each has a flag (--caller-address) and an
/// environment variable (RADISHROAD_CALLER_ADDRESS); the flag wins.
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
  /// "own", or "platform" for the protocols of the users' platform.
  std::string mProtocol = "own";
  /// Where the platform asks whether this daemon is ready.
  std::string mReadyAddress;
  /// Where the upstream sends its reports.
  std::string mReportAddress;
  /// Bounds in milliseconds; see docs/operators.md.
  std::string mStopTimeMs = "25000";
  std::string mDrainTimeMs = "2000";
  std::string mLongestHoldMs = "10000";
  std::string mZoneOutTimeMs = "5000";

  LogLevel logLevel() const;
  unsigned callerThreads() const;
  bool isPlatform() const { return mProtocol == "platform"; }
  /// Time from a request to stop until the process has to be gone.
  Millis stopTime() const;
  /// Time from an upstream's notice that it drains until it may get nothing.
  Millis drainTime() const;
  /// Longest time for which an upstream may be granted keys.
  Millis longestHold() const;
  /// Time from taking an availability zone out until it may get nothing.
  Millis zoneOutTime() const;
};

/// What the command line asks for.
struct DaemonCommand
{
  DaemonSettings mSettings;
  /// --check: stop after checking the settings.
  bool mCheckOnly = false;
};

using EnvironmentFn =
  std::function<std::optional<std::string>(const std::string&)>;

/// Reads flags and environment and checks all of them. --help prints and ends
/// the process with status 0.
tl::expected<DaemonCommand, Findings>
readSettings(int aCount, const char** aArguments, const EnvironmentFn& aGetEnv);

/// "1.2.3.4:80": a numeric IPv4 address and a port above 0.
bool
isSocketAddress(const std::string& aText);

}

#endif

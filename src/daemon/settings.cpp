#include "radishroad/daemon/settings.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <vector>

namespace radishroad {

namespace {

enum class Kind
{
  Name,
  Address,
  OptionalAddress,
  Level,
  ThreadCount,
  Protocol,
  Duration,
  Memory,
  Percent,
  OptionalNumber,
  OptionalFraction,
  OptionalDuration,
};

/// A setting with its flag, environment variable, target member and syntax.
struct Setting
{
  const char* mFlag;
  const char* mVariable;
  std::string DaemonSettings::*mTarget;
  Kind mKind;
  const char* mHelp;
};

constexpr std::array<Setting, 25> kSettings{ {
  { "vm", "RADISHROAD_VM", &DaemonSettings::mVm, Kind::Name, "name of the VM" },
  { "zone",
    "RADISHROAD_ZONE",
    &DaemonSettings::mZone,
    Kind::Name,
    "availability zone of the VM" },
  { "service",
    "RADISHROAD_SERVICE",
    &DaemonSettings::mService,
    Kind::Name,
    "service of the upstream beside this daemon" },
  { "caller-address",
    "RADISHROAD_CALLER_ADDRESS",
    &DaemonSettings::mCallerAddress,
    Kind::Address,
    "IP:PORT that serves callers" },
  { "peer-address",
    "RADISHROAD_PEER_ADDRESS",
    &DaemonSettings::mPeerAddress,
    Kind::Address,
    "IP:PORT that serves the other daemons" },
  { "advertise-peer-address",
    "RADISHROAD_ADVERTISE_PEER_ADDRESS",
    &DaemonSettings::mAdvertisePeerAddress,
    Kind::OptionalAddress,
    "IP:PORT at which the other daemons reach this one (peer-address)" },
  { "operator-address",
    "RADISHROAD_OPERATOR_ADDRESS",
    &DaemonSettings::mOperatorAddress,
    Kind::Address,
    "IP:PORT that serves operators" },
  { "upstream-address",
    "RADISHROAD_UPSTREAM_ADDRESS",
    &DaemonSettings::mUpstreamAddress,
    Kind::Address,
    "IP:PORT of the upstream" },
  { "log-address",
    "RADISHROAD_LOG_ADDRESS",
    &DaemonSettings::mLogAddress,
    Kind::Address,
    "IP:PORT of the platform's log service" },
  { "log-level",
    "RADISHROAD_LOG_LEVEL",
    &DaemonSettings::mLogLevel,
    Kind::Level,
    "debug, info, warn or error (info)" },
  { "caller-threads",
    "RADISHROAD_CALLER_THREADS",
    &DaemonSettings::mCallerThreads,
    Kind::ThreadCount,
    "threads that read callers' requests, 1 to 64 (2)" },
  { "protocol",
    "RADISHROAD_PROTOCOL",
    &DaemonSettings::mProtocol,
    Kind::Protocol,
    "own or platform (own)" },
  { "ready-address",
    "RADISHROAD_READY_ADDRESS",
    &DaemonSettings::mReadyAddress,
    Kind::OptionalAddress,
    "IP:PORT that serves the platform's readiness checks" },
  { "report-address",
    "RADISHROAD_REPORT_ADDRESS",
    &DaemonSettings::mReportAddress,
    Kind::OptionalAddress,
    "IP:PORT that receives the upstream's reports" },
  { "stop-time-ms",
    "RADISHROAD_STOP_TIME_MS",
    &DaemonSettings::mStopTimeMs,
    Kind::Duration,
    "time for a planned stop, hand-offs included (25000)" },
  { "drain-time-ms",
    "RADISHROAD_DRAIN_TIME_MS",
    &DaemonSettings::mDrainTimeMs,
    Kind::Duration,
    "time after which a draining upstream gets no more requests (2000)" },
  { "longest-hold-ms",
    "RADISHROAD_LONGEST_HOLD_MS",
    &DaemonSettings::mLongestHoldMs,
    Kind::Duration,
    "longest time for which an upstream is granted keys (10000)" },
  { "zone-out-time-ms",
    "RADISHROAD_ZONE_OUT_TIME_MS",
    &DaemonSettings::mZoneOutTimeMs,
    Kind::Duration,
    "time after which a zone out of service gets no more requests (5000)" },
  { "config-time-ms",
    "RADISHROAD_CONFIG_TIME_MS",
    &DaemonSettings::mConfigTimeMs,
    Kind::Duration,
    "time after which a new configuration must be in force (2000)" },
  { "memory-mb",
    "RADISHROAD_MEMORY_MB",
    &DaemonSettings::mMemoryMb,
    Kind::Memory,
    "memory that the daemon may use, in MB (160)" },
  { "body-memory-percent",
    "RADISHROAD_BODY_MEMORY_PERCENT",
    &DaemonSettings::mBodyMemoryPercent,
    Kind::Percent,
    "part of it for the bodies of requests and responses (35)" },
  { "link-mbps",
    "RADISHROAD_LINK_MBPS",
    &DaemonSettings::mLinkMbps,
    Kind::OptionalNumber,
    "bandwidth of the VM's link in Mbit/s; limits large responses (unknown)" },
  { "rollout-share",
    "RADISHROAD_ROLLOUT_SHARE",
    &DaemonSettings::mRolloutShare,
    Kind::OptionalFraction,
    "share of requests for a version in roll-out, 0 to 1 (no roll-outs)" },
  { "rollout-slack",
    "RADISHROAD_ROLLOUT_SLACK",
    &DaemonSettings::mRolloutSlack,
    Kind::OptionalNumber,
    "requests that it may get beyond its share (0)" },
  { "rollback-ms",
    "RADISHROAD_ROLLBACK_MS",
    &DaemonSettings::mRollbackTimeMs,
    Kind::OptionalDuration,
    "time after which a version rolled back gets no more requests (5000)" },
} };

constexpr std::size_t kMaxNameLength = 64;
constexpr unsigned kMaxThreads = 64;
constexpr unsigned kMaxDurationMs = 600000;
constexpr unsigned kMinMemoryMb = 64;
constexpr unsigned kMaxMemoryMb = 1U << 20;
constexpr unsigned kMaxBodyPercent = 50;
constexpr double kMaxNumber = 1000000;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;
constexpr Millis kDefaultRollbackTime{ 5000 };

bool
isName(const std::string& aText)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

bool
isLogLevel(const std::string& aText)
{
  return aText == "debug" || aText == "info" || aText == "warn" ||
         aText == "error";
}

unsigned
toUnsigned(const std::string& aText)
{
  unsigned value = 0;
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result =
    std::from_chars(aText.data(), end, value);
  return result.ec == std::errc() && result.ptr == end ? value : 0;
}

bool
isThreadCount(const std::string& aText)
{
  const unsigned n = toUnsigned(aText);
  return n >= 1 && n <= kMaxThreads;
}

bool
isDuration(const std::string& aText)
{
  const unsigned n = toUnsigned(aText);
  return n >= 1 && n <= kMaxDurationMs;
}

/// A decimal number from 0 to aMax; nullopt otherwise.
std::optional<double>
toDecimal(const std::string& aText, double aMax)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result =
    std::from_chars(aText.data(), end, value);
  const bool ok = result.ec == std::errc() && result.ptr == end && value >= 0 &&
                  value <= aMax;
  return ok ? std::optional<double>(value) : std::nullopt;
}

bool
isWithin(const std::string& aText, unsigned aMin, unsigned aMax)
{
  const unsigned n = toUnsigned(aText);
  return n >= aMin && n <= aMax;
}

/// Describes the syntax of the kind if the text is invalid; empty if it is
/// valid.
std::string
describeExpected(Kind aKind, const std::string& aText)
{
  switch (aKind) {
    case Kind::Name:
      return isName(aText) ? "" : "1 to 64 letters, digits, '-', '_' or '.'";
    case Kind::Address:
      return isSocketAddress(aText) ? "" : "IP:PORT, such as 10.0.0.7:8080";
    case Kind::OptionalAddress:
      return aText.empty() ? "" : describeExpected(Kind::Address, aText);
    case Kind::Level:
      return isLogLevel(aText) ? "" : "debug, info, warn or error";
    case Kind::ThreadCount:
      return isThreadCount(aText) ? "" : "a number from 1 to 64";
    case Kind::Protocol:
      return aText == "own" || aText == "platform" ? "" : "own or platform";
    case Kind::Duration:
      return isDuration(aText) ? "" : "milliseconds from 1 to 600000";
    case Kind::Memory:
      return isWithin(aText, kMinMemoryMb, kMaxMemoryMb)
               ? ""
               : "megabytes from 64 to 1048576";
    case Kind::OptionalNumber:
      return aText.empty() || toDecimal(aText, kMaxNumber)
               ? ""
               : "a number from 0 to 1000000";
    case Kind::OptionalFraction:
      return aText.empty() || toDecimal(aText, 1) ? "" : "a number from 0 to 1";
    case Kind::OptionalDuration:
      return aText.empty() || isDuration(aText)
               ? ""
               : "milliseconds from 1 to 600000";
    case Kind::Percent:
      return isWithin(aText, 1, kMaxBodyPercent) ? ""
                                                 : "a percentage from 1 to 50";
  }
  return "";
}

void
checkSetting(const Setting& aSetting,
             const std::string& aText,
             const std::string& aSource,
             Findings& aFindings)
{
  const std::string expected = describeExpected(aSetting.mKind, aText);
  if (expected.empty()) {
    return;
  }
  const std::string problem =
    aText.empty() ? "not set" : "'" + aText + "' is not accepted";
  aFindings.push_back({ aSource, 0, problem, expected });
}

/// With the platform's protocol, readiness checks and upstreams' reports are
/// served at addresses of their own.
void
checkPlatformAddresses(const DaemonSettings& aSettings, Findings& aFindings)
{
  if (!aSettings.isPlatform()) {
    return;
  }
  for (const Setting& setting : kSettings) {
    const bool needed = setting.mTarget == &DaemonSettings::mReadyAddress ||
                        setting.mTarget == &DaemonSettings::mReportAddress;
    if (needed && (aSettings.*setting.mTarget).empty()) {
      aFindings.push_back({ std::string("--") + setting.mFlag,
                            0,
                            "not set",
                            "IP:PORT, with --protocol platform" });
    }
  }
}

constexpr int kCheckOption = 1000;

struct PoptFree
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};
using PoptContext =
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptFree>;

std::vector<poptOption>
makeOptions()
{
  std::vector<poptOption> options;
  int value = 1;
  for (const Setting& setting : kSettings) {
    options.push_back({ setting.mFlag,
                        '\0',
                        POPT_ARG_STRING,
                        nullptr,
                        value,
                        setting.mHelp,
                        "VALUE" });
    ++value;
  }
  options.push_back({ "check",
                      '\0',
                      POPT_ARG_NONE,
                      nullptr,
                      kCheckOption,
                      "check the settings and exit",
                      nullptr });
  const std::array<poptOption, 2> tail{ { POPT_AUTOHELP POPT_TABLEEND } };
  options.insert(options.end(), tail.begin(), tail.end());
  return options;
}

void
readEnvironment(const EnvironmentFn& aGetEnv,
                DaemonSettings& aSettings,
                std::array<std::string, kSettings.size()>& aSources)
{
  for (std::size_t n = 0; n < kSettings.size(); ++n) {
    const Setting& setting = kSettings.at(n);
    aSources.at(n) = std::string("--") + setting.mFlag;
    const std::optional<std::string> text = aGetEnv(setting.mVariable);
    if (text) {
      aSettings.*setting.mTarget = *text;
      aSources.at(n) = setting.mVariable;
    }
  }
}

}

LogLevel
DaemonSettings::logLevel() const
{
  if (mLogLevel == "debug") {
    return LogLevel::Debug;
  }
  if (mLogLevel == "warn") {
    return LogLevel::Warn;
  }
  return mLogLevel == "error" ? LogLevel::Error : LogLevel::Info;
}

unsigned
DaemonSettings::callerThreads() const
{
  return toUnsigned(mCallerThreads);
}

Millis
DaemonSettings::stopTime() const
{
  return { toUnsigned(mStopTimeMs) };
}

Millis
DaemonSettings::drainTime() const
{
  return { toUnsigned(mDrainTimeMs) };
}

Millis
DaemonSettings::longestHold() const
{
  return { toUnsigned(mLongestHoldMs) };
}

Millis
DaemonSettings::zoneOutTime() const
{
  return { toUnsigned(mZoneOutTimeMs) };
}

Millis
DaemonSettings::configTime() const
{
  return { toUnsigned(mConfigTimeMs) };
}

std::size_t
DaemonSettings::bodyMemoryBytes() const
{
  constexpr std::size_t kBytesPerMb = 1U << 20;
  return toUnsigned(mMemoryMb) * kBytesPerMb * toUnsigned(mBodyMemoryPercent) /
         100;
}

double
DaemonSettings::linkBytesPerSecond() const
{
  return toDecimal(mLinkMbps, kMaxNumber).value_or(0) * kBitsPerMegabit /
         kBitsPerByte;
}

double
DaemonSettings::rolloutShare() const
{
  return toDecimal(mRolloutShare, 1).value_or(0);
}

std::uint32_t
DaemonSettings::rolloutSlack() const
{
  return static_cast<std::uint32_t>(
    toDecimal(mRolloutSlack, kMaxNumber).value_or(0));
}

Millis
DaemonSettings::rollbackTime() const
{
  return mRollbackTimeMs.empty() ? kDefaultRollbackTime
                                 : Millis{ toUnsigned(mRollbackTimeMs) };
}

bool
isSocketAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr address{};
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address) != 1) {
    return false;
  }
  constexpr unsigned kMaxPort = 65535;
  const unsigned port = toUnsigned(aText.substr(colon + 1));
  return port >= 1 && port <= kMaxPort;
}

tl::expected<DaemonCommand, Findings>
readSettings(int aCount, const char** aArguments, const EnvironmentFn& aGetEnv)
{
  DaemonCommand command;
  Findings findings;
  std::array<std::string, kSettings.size()> sources;
  readEnvironment(aGetEnv, command.mSettings, sources);

  const std::vector<poptOption> options = makeOptions();
  const PoptContext context(
    poptGetContext("radishroadd", aCount, aArguments, options.data(), 0));
  int optionCode = 0;
  while ((optionCode = poptGetNextOpt(context.get())) > 0) {
    if (optionCode == kCheckOption) {
      command.mCheckOnly = true;
      continue;
    }
    const std::size_t n = static_cast<std::size_t>(optionCode) - 1;
    const std::unique_ptr<char, decltype(&std::free)> text(
      poptGetOptArg(context.get()), &std::free);
    command.mSettings.*kSettings.at(n).mTarget = text.get();
    sources.at(n) = std::string("--") + kSettings.at(n).mFlag;
  }
  if (optionCode < -1) {
    findings.push_back({ poptBadOption(context.get(), 0),
                         0,
                         poptStrerror(optionCode),
                         "a flag that --help lists" });
  }
  if (const char* extra = poptGetArg(context.get()); extra != nullptr) {
    findings.push_back({ extra, 0, "unknown argument", "flags only" });
  }
  for (std::size_t n = 0; n < kSettings.size(); ++n) {
    const Setting& setting = kSettings.at(n);
    checkSetting(
      setting, command.mSettings.*setting.mTarget, sources.at(n), findings);
  }
  checkPlatformAddresses(command.mSettings, findings);
  if (!findings.empty()) {
    return tl::unexpected<Findings>(findings);
  }
  if (command.mSettings.mAdvertisePeerAddress.empty()) {
    command.mSettings.mAdvertisePeerAddress = command.mSettings.mPeerAddress;
  }
  return command;
}

}

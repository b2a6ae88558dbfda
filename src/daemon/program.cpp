#include "radishroad/daemon/program.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/crash_watch.h"
#include "radishroad/daemon/daemon.h"
#include "radishroad/daemon/settings.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <curl/curl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <semaphore.h>

namespace radishroad {

namespace {

/// Exit status for settings that are not accepted.
constexpr int kExitUsage = 2;
/// Exit status for an address that cannot be bound.
constexpr int kExitCannotStart = 3;
/// An incarnation that lived so long did not fail at once.
constexpr Millis kLongLife{ 60000 };
constexpr Millis kJoinDelayStep{ 500 };
/// The platform allows a fifth of a service's requests as repeats, and few
/// besides. A repeated run repeats its calls to other services, and all of a
/// daemon's repeats may be for one service, so that each daemon takes a fifth
/// of that share.
constexpr RetryBudget::Bounds kPlatformRetries{ .mRatio = 0.04,
                                                .mMaxTokens = 3,
                                                .mTokensPerSecond = 0.05 };
constexpr Millis kLongestJoinDelay{ 30000 };

std::atomic<bool> sStopRequested{ false };
std::atomic<bool> sReloadRequested{ false };
/// Posted by the signal handler, which may call little else.
sem_t sStopSignal;

void
onStopSignal(int)
{
  sStopRequested = true;
  sem_post(&sStopSignal);
}

/// Settings come with the command line and stay; a reload is only told of.
void
onReloadSignal(int)
{
  sReloadRequested = true;
  sem_post(&sStopSignal);
}

bool
waitForStop(Millis aLongest)
{
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  // steady_clock counts CLOCK_MONOTONIC.
  const nanoseconds end = std::chrono::steady_clock::now().time_since_epoch() +
                          std::chrono::milliseconds(aLongest.mCount);
  timespec until{};
  until.tv_sec = std::chrono::duration_cast<seconds>(end).count();
  until.tv_nsec = (end % seconds(1)).count();
  while (!sStopRequested && !sReloadRequested &&
         sem_clockwait(&sStopSignal, CLOCK_MONOTONIC, &until) != 0 &&
         errno == EINTR) {
  }
  if (sReloadRequested.exchange(false)) {
    logEvent(LogLevel::Info, "reload", { { "settings", "unchanged" } });
  }
  return sStopRequested;
}

void
installSignals()
{
  sem_init(&sStopSignal, 0, 0);
  std::signal(SIGTERM, onStopSignal);
  std::signal(SIGINT, onStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, onReloadSignal);
}

std::optional<std::string>
readEnvironment(const std::string& aName)
{
  const char* text = std::getenv(aName.c_str());
  return text == nullptr ? std::nullopt : std::optional<std::string>(text);
}

int
runDaemon(const DaemonSettings& aSettings, const DaemonHooks& aHooks)
{
  // What crashes upstreams is remembered from one incarnation to the next.
  CrashWatch crashes(aSettings.isPlatform() ? kPlatformRetries
                                            : RetryBudget::Bounds{});
  Millis joinDelay;
  while (true) {
    const Millis startedAt = monotonicNow();
    Daemon daemon(aSettings, crashes, joinDelay, aHooks);
    const Result<Daemon::RunEnd> end = daemon.run(waitForStop);
    if (!end) {
      logEvent(
        LogLevel::Error, "cannot_start", { { "error", end.error().mMessage } });
      return kExitCannotStart;
    }
    if (*end == Daemon::RunEnd::Stopped) {
      return EXIT_SUCCESS;
    }
    // A daemon that its peers cannot reach would join and be expelled again
    // and again, and take shards each time.
    const bool livedLong = monotonicNow() - startedAt > kLongLife;
    joinDelay = livedLong
                  ? Millis{}
                  : std::min(joinDelay * 2 + kJoinDelayStep, kLongestJoinDelay);
  }
}

}

int
runDaemonProgram(int aCount, char** aArguments, const DaemonHooks& aHooks)
{
  const tl::expected<DaemonCommand, Findings> command =
    readSettings(aCount, const_cast<const char**>(aArguments), readEnvironment);
  if (!command) {
    for (const Finding& finding : command.error()) {
      std::cerr << "radishroadd: " << finding.toString() << '\n';
    }
    return kExitUsage;
  }
  if (command->mCheckOnly) {
    std::cout << "settings accepted\n";
    return EXIT_SUCCESS;
  }
  const DaemonSettings& settings = command->mSettings;
  startLog("daemon", settings.mVm, settings.mZone, settings.logLevel());
  curl_global_init(CURL_GLOBAL_ALL);
  installSignals();
  const int status = runDaemon(settings, aHooks);
  stopLog();
  return status;
}

}

#include "radishroad/daemon/program.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/daemon.h"
#include "radishroad/daemon/retry_policy.h"
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
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <semaphore.h>

namespace radishroad {

namespace {

/// Exit status for invalid settings.
constexpr int kExitUsage = 2;
/// Exit status for an address that cannot be bound.
constexpr int kExitCannotStart = 3;
/// An incarnation that ran this long resets the join delay.
constexpr Millis kStableUptime{ 60000 };
constexpr Millis kJoinDelayStep{ 500 };
/// The platform allows retries for a fifth of a service's requests, and few
/// beyond that. A request that runs again repeats its calls to other services,
/// and all retries of a daemon may go to one service, so each daemon uses only
/// a fifth of that share.
constexpr RetryBudget::Options kPlatformRetryOptions{ .mRatio = 0.04,
                                                      .mMaxTokens = 3,
                                                      .mTokensPerSecond =
                                                        0.05 };
constexpr Millis kMaxJoinDelay{ 30000 };

/// Larger blocks are given back to the system as soon as they are freed.
constexpr int kMappedBlockBytes = 128 << 10;

/// Monotonic time in ms of the first stop request; 0 if there is none.
std::atomic<std::int64_t> sStopRequestedAt{ 0 };
std::atomic<bool> sReloadRequested{ false };
/// Posted by the signal handlers; sem_post is async-signal-safe.
sem_t sSignalSemaphore;

void
onStopSignal(int)
{
  // monotonicNow() only calls clock_gettime, which is async-signal-safe.
  std::int64_t none = 0;
  sStopRequestedAt.compare_exchange_strong(none, monotonicNow().mCount);
  sem_post(&sSignalSemaphore);
}

/// Settings come from the command line and the environment and cannot change
/// while the process runs, so a reload request is only logged.
void
onReloadSignal(int)
{
  sReloadRequested = true;
  sem_post(&sSignalSemaphore);
}

std::optional<Millis>
waitForStop(Millis aTimeout)
{
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  // steady_clock counts CLOCK_MONOTONIC.
  const nanoseconds end = std::chrono::steady_clock::now().time_since_epoch() +
                          std::chrono::milliseconds(aTimeout.mCount);
  timespec until{};
  until.tv_sec = std::chrono::duration_cast<seconds>(end).count();
  until.tv_nsec = (end % seconds(1)).count();
  while (sStopRequestedAt == 0 && !sReloadRequested &&
         sem_clockwait(&sSignalSemaphore, CLOCK_MONOTONIC, &until) != 0 &&
         errno == EINTR) {
  }
  if (sReloadRequested.exchange(false)) {
    logEvent(LogLevel::Info, "reload", { { "settings", "unchanged" } });
  }
  const Millis requestedAt{ sStopRequestedAt.load() };
  return requestedAt == Millis{} ? std::nullopt : std::optional(requestedAt);
}

void
installSignalHandlers()
{
  sem_init(&sSignalSemaphore, 0, 0);
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
  // Quarantine and retry budget are kept from one incarnation to the next.
  RetryPolicy retryPolicy(aSettings.isPlatform() ? kPlatformRetryOptions
                                                 : RetryBudget::Options{});
  Millis joinDelay;
  while (true) {
    const Millis startedAt = monotonicNow();
    Daemon daemon(aSettings, retryPolicy, joinDelay, aHooks);
    const Result<Daemon::ExitReason> end = daemon.run(waitForStop);
    if (!end) {
      logEvent(
        LogLevel::Error, "cannot_start", { { "error", end.error().mMessage } });
      return kExitCannotStart;
    }
    if (*end == Daemon::ExitReason::Stopped) {
      return EXIT_SUCCESS;
    }
    // Without a growing delay, a daemon that its peers cannot reach would join,
    // take shards and be expelled over and over.
    const bool wasStable = monotonicNow() - startedAt > kStableUptime;
    joinDelay = wasStable
                  ? Millis{}
                  : std::min(joinDelay * 2 + kJoinDelayStep, kMaxJoinDelay);
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
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  curl_global_init(CURL_GLOBAL_ALL);
  installSignalHandlers();
  endProcess(runDaemon(settings, aHooks));
}

}

#include "radishroad/daemon/daemon.h"

#include "radishroad/base/json_log.h"

#include "daemon_impl.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace radishroad {

namespace {

/// How often run() checks whether this incarnation has to end.
constexpr Millis kStopPollInterval{ 100 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
/// Percentage of the planned stop time for hand-offs; the rest is for callers'
/// requests that still run.
constexpr std::int64_t kHandoffPercent = 60;

}

Daemon::Daemon(const DaemonSettings& aSettings,
               RetryPolicy& aRetryPolicy,
               Millis aJoinDelay,
               const DaemonHooks& aHooks)
  : mImpl(std::make_unique<Impl>(aSettings, aRetryPolicy, aJoinDelay, aHooks))
{
}

Daemon::~Daemon() = default;

Result<Daemon::ExitReason>
Daemon::run(const StopFn& aWaitForStop)
{
  const Result<void> started = mImpl->start();
  if (!started) {
    mImpl->stop();
    return tl::unexpected<Error>(started.error());
  }
  logEvent(LogLevel::Info,
           "start",
           { { "incarnation", std::to_string(mImpl->mSelf) } });
  bool stopRequested = false;
  while (!stopRequested && !mImpl->mRemoved) {
    stopRequested = aWaitForStop(kStopPollInterval);
  }
  const ExitReason exitReason =
    stopRequested ? ExitReason::Stopped : ExitReason::Rejoin;
  if (exitReason == ExitReason::Stopped) {
    logEvent(LogLevel::Info, "stopping", nlohmann::json::object());
    mImpl->mLeaveRequested = true;
    mImpl->mLoop.post([this] { mImpl->mLoop.scheduleImmediateTick(); });
    const Millis limit =
      monotonicNow() + mImpl->mSettings.stopTime() * kHandoffPercent / 100;
    while (!mImpl->drained() && monotonicNow() < limit) {
      std::this_thread::sleep_for(kDrainPollInterval);
    }
  }
  const Millis stopTime = mImpl->mSettings.stopTime();
  mImpl->mCallerServer.drain(stopTime - stopTime * kHandoffPercent / 100);
  mImpl->stop();
  logEvent(LogLevel::Info,
           exitReason == ExitReason::Stopped ? "stop" : "rejoin",
           nlohmann::json::object());
  return exitReason;
}

}

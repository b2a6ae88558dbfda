#include "radishroad/daemon/daemon.h"

#include "radishroad/base/json_log.h"

#include "parts.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace radishroad {

namespace {

/// How often the end of this incarnation is looked for.
constexpr Millis kEndWatchInterval{ 100 };
constexpr std::chrono::milliseconds kDrainWatchInterval{ 20 };
/// Part of the time for a planned stop in which everything is handed off; the
/// rest is for callers' requests that run.
constexpr std::int64_t kLeavePercent = 60;

}

Daemon::Daemon(const DaemonSettings& aSettings,
               CrashWatch& aCrashes,
               Millis aJoinDelay,
               const DaemonHooks& aHooks)
  : mParts(std::make_unique<Parts>(aSettings, aCrashes, aJoinDelay, aHooks))
{
}

Daemon::~Daemon() = default;

Result<Daemon::RunEnd>
Daemon::run(const StopFn& aWaitForStop)
{
  const Result<void> started = mParts->start();
  if (!started) {
    mParts->stop();
    return tl::unexpected<Error>(started.error());
  }
  logEvent(LogLevel::Info,
           "start",
           { { "incarnation", std::to_string(mParts->mSelf) } });
  bool stopRequested = false;
  while (!stopRequested && !mParts->mOut) {
    stopRequested = aWaitForStop(kEndWatchInterval);
  }
  const RunEnd end = stopRequested ? RunEnd::Stopped : RunEnd::Rejoin;
  if (end == RunEnd::Stopped) {
    logEvent(LogLevel::Info, "stopping", nlohmann::json::object());
    mParts->mLeaveRequested = true;
    mParts->mLoop.post([this] { mParts->mLoop.scheduleImmediateTick(); });
    const Millis limit =
      monotonicNow() + mParts->mSettings.stopTime() * kLeavePercent / 100;
    while (!mParts->drained() && monotonicNow() < limit) {
      std::this_thread::sleep_for(kDrainWatchInterval);
    }
  }
  const Millis stopTime = mParts->mSettings.stopTime();
  mParts->mCallers.drain(stopTime - stopTime * kLeavePercent / 100);
  mParts->stop();
  logEvent(LogLevel::Info,
           end == RunEnd::Stopped ? "stop" : "rejoin",
           nlohmann::json::object());
  return end;
}

}

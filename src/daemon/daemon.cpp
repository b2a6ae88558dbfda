#include "radishroad/daemon/daemon.h"

#include "radishroad/base/json_log.h"

#include "parts.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace radishroad {

namespace {

constexpr std::chrono::milliseconds kWatchInterval{ 20 };
/// Longest time for handing everything off before a planned stop.
constexpr Millis kLeaveTimeout{ 15000 };
constexpr Millis kDrainTimeout{ 10000 };

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
Daemon::run(const std::function<bool()>& aStopRequested)
{
  const Result<void> started = mParts->start();
  if (!started) {
    mParts->stop();
    return tl::unexpected<Error>(started.error());
  }
  logEvent(LogLevel::Info,
           "start",
           { { "incarnation", std::to_string(mParts->mSelf) } });
  while (!aStopRequested() && !mParts->mOut) {
    std::this_thread::sleep_for(kWatchInterval);
  }
  const RunEnd end = aStopRequested() ? RunEnd::Stopped : RunEnd::Rejoin;
  if (end == RunEnd::Stopped) {
    logEvent(LogLevel::Info, "stopping", nlohmann::json::object());
    mParts->mLeaveRequested = true;
    const Millis limit = monotonicNow() + kLeaveTimeout;
    while (!mParts->drained() && monotonicNow() < limit) {
      std::this_thread::sleep_for(kWatchInterval);
    }
  }
  mParts->mCallers.drain(kDrainTimeout);
  mParts->stop();
  logEvent(LogLevel::Info,
           end == RunEnd::Stopped ? "stop" : "rejoin",
           nlohmann::json::object());
  return end;
}

}

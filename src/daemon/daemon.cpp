#include "radishroad/daemon/daemon.h"

#include "radishroad/base/json_log.h"
#include "radishroad/policy/stop_schedule.h"

#include "daemon_impl.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace radishroad {

namespace {

/// How often run() checks whether this incarnation has to end.
constexpr Millis kStopPollInterval{ 100 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
/// How often it is checked whether all requests are answered.
constexpr Millis kAnswerPollInterval{ 20 };
/// Percentage of the planned stop time for the end of an incarnation that was
/// removed and has answered what it had taken: callers get no new connections
/// meanwhile.
constexpr std::int64_t kRejoinPercent = 40;
/// Bounds each wait for requests with far deadlines: their daemon owns nothing
/// until it rejoins.
constexpr Millis kMaxAnswerWait{ 30000 };

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
    mImpl->stop(monotonicNow());
    return tl::unexpected<Error>(started.error());
  }
  logEvent(LogLevel::Info,
           "start",
           { { "incarnation", std::to_string(mImpl->mSelf) } });
  std::optional<Millis> requestedAt;
  while (!requestedAt && !mImpl->mRemoved) {
    requestedAt = aWaitForStop(kStopPollInterval);
  }
  const Millis stopTime = mImpl->mSettings.stopTime();
  if (!requestedAt) {
    logEvent(LogLevel::Warn, "removed", nlohmann::json::object());
    requestedAt = waitUntilAnswered(aWaitForStop);
  }
  if (!requestedAt) {
    const StopSchedule schedule =
      StopSchedule::make(monotonicNow(), stopTime * kRejoinPercent / 100);
    mImpl->beginStop(schedule);
    finish(schedule);
    if (aWaitForStop(Millis{})) {
      logEvent(LogLevel::Info, "stop", nlohmann::json::object());
      return ExitReason::Stopped;
    }
    logEvent(LogLevel::Info, "rejoin", nlohmann::json::object());
    return ExitReason::Rejoin;
  }
  // An earlier incarnation may have been ending when the request was made.
  const StopSchedule schedule = StopSchedule::make(*requestedAt, stopTime);
  logEvent(LogLevel::Info, "stopping", nlohmann::json::object());
  mImpl->beginStop(schedule);
  mImpl->mLeaveRequested = true;
  mImpl->mLoop.post([this] { mImpl->mLoop.scheduleImmediateTick(); });
  while (!mImpl->drained() && monotonicNow() < schedule.mHandoffsUntil) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  // The platform's callers have no other daemon, so they are served for as long
  // as earlier requests keep the process. Others go to another daemon.
  if (mImpl->mProtocol.isPlatform()) {
    mImpl->mCallerServer.waitCurrentServed(schedule.mHandoffsUntil -
                                           monotonicNow());
  }
  finish(schedule);
  logEvent(LogLevel::Info,
           "stop",
           { { "took_ms", (monotonicNow() - *requestedAt).mCount } });
  return ExitReason::Stopped;
}

std::optional<Millis>
Daemon::waitUntilAnswered(const StopFn& aWaitForStop)
{
  const auto waitFor = [&aWaitForStop](const std::function<bool()>& aIsOver) {
    const Millis until = monotonicNow() + kMaxAnswerWait;
    std::optional<Millis> requestedAt;
    while (!requestedAt && !aIsOver() && monotonicNow() < until) {
      requestedAt = aWaitForStop(kAnswerPollInterval);
    }
    return requestedAt;
  };
  // Callers can connect as long as only other daemons wait for answers.
  const std::optional<Millis> requestedAt =
    waitFor([this] { return mImpl->mGate->isIdle(); });
  if (requestedAt) {
    return requestedAt;
  }
  mImpl->mCallerServer.beginDrain();
  return waitFor(
    [this] { return mImpl->mCallerServer.isIdle() && mImpl->mGate->isIdle(); });
}

void
Daemon::finish(const StopSchedule& aSchedule)
{
  mImpl->mCallerServer.drain(aSchedule.mAnswersUntil - monotonicNow());
  // All that arrives from now on is refused.
  mImpl->mIngress.beginStop(StopSchedule::make(monotonicNow(), {}));
  mImpl->mCallerServer.finish(aSchedule.mAnswersUntil - monotonicNow());
  mImpl->stop(aSchedule.mAnswersUntil);
}

}

#ifndef RADISHROAD_BASE_JSON_LOG_H
#define RADISHROAD_BASE_JSON_LOG_H

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
};

/// Starts logging JSON lines to standard output, each with time, process role,
/// VM and availability zone. Call once, before any thread starts. A dedicated
/// thread writes the lines, so a slow reader of the output never blocks the
/// callers: lines that do not fit into the queue are dropped, and a
/// `log_lines_dropped` event reports their number.
void
startLog(std::string_view aRole,
         std::string_view aVm,
         std::string_view aZone,
         LogLevel aMinLevel);

/// Flushes the queued lines, waiting for a limited time, and stops logging.
/// Call once, after all other threads have ended.
void
stopLog();

/// Calls stopLog() and ends the process with the status, without running the
/// destructors of static objects. That of log4cplus waits for the threads of
/// its thread pool, which may never return; stopped daemons were killed at the
/// end of their grace time.
[[noreturn]] void
endProcess(int aStatus);

/// Logs one event. aFields is a JSON object; it must never contain a caller's
/// key.
void
logEvent(LogLevel aLevel,
         std::string_view aEvent,
         const nlohmann::json& aFields);

/// Logs one event about a request, at level info. The number of such events per
/// second is limited; a `request_lines_left_out` event reports how many were
/// suppressed.
void
logRequest(std::string_view aEvent,
           std::string_view aRequestId,
           nlohmann::json aFields);

/// True for one in 64 request ids, the same ones in all daemons. A successful
/// request is therefore logged either by every daemon that handles it or by
/// none.
bool
isSampled(std::string_view aRequestId);

/// Returns the most recent events as JSON lines, oldest first. Their number is
/// limited.
std::vector<std::string>
recentEvents();

}

#endif

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

/// Starts logging of JSON lines to standard output, each with time, process
/// role, VM and availability zone. Call once, before any thread starts. Lines
/// are written by a thread of their own: a slow reader of the output costs
/// lines, which are counted in `log_lines_dropped`, and never time.
void
startLog(std::string_view aRole,
         std::string_view aVm,
         std::string_view aZone,
         LogLevel aMinLevel);

/// Writes what waits, for a bounded time, and stops. Call once, after all other
/// threads have ended.
void
stopLog();

/// Writes one event. aFields is a JSON object; a caller's key never goes in.
void
logEvent(LogLevel aLevel,
         std::string_view aEvent,
         const nlohmann::json& aFields);

/// Writes one event that touches a request, at level info. At most a set number
/// of them a second go out; those left out are counted, and the count follows
/// as an event of its own.
void
logRequest(std::string_view aEvent,
           std::string_view aRequestId,
           nlohmann::json aFields);

/// True for one in 64 request ids, for the same ones in all daemons: a request
/// that went well is logged by each daemon on its way, or by none.
bool
isSampled(std::string_view aRequestId);

/// The newest events, oldest first, as JSON lines (bounded memory).
std::vector<std::string>
recentEvents();

}

#endif

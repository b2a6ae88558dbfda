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
/// role, VM and availability zone. Call once, before any thread starts.
void
startLog(std::string_view aRole,
         std::string_view aVm,
         std::string_view aZone,
         LogLevel aLowest);

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

/// The newest events, oldest first, as JSON lines (bounded memory).
std::vector<std::string>
recentEvents();

}

#endif

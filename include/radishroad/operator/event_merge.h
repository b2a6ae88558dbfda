#ifndef RADISHROAD_OPERATOR_EVENT_MERGE_H
#define RADISHROAD_OPERATOR_EVENT_MERGE_H

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Selects the events of a timeline. An empty field matches every event.
struct EventFilter
{
  std::string mVm;
  std::string mEvent;
  std::string mRequestId;
  /// A routing key. Matches events that contain the key, its hash or its shard.
  std::string mKey;
};

/// Merges the JSON lines of several processes into one timeline, sorted by wall
/// time. Events with equal times keep the order of their source. A line that
/// occurs in several sources is included once. Lines that are not events are
/// skipped.
std::vector<nlohmann::ordered_json>
mergeEvents(std::span<const std::string> aSources, const EventFilter& aFilter);

/// Returns a field as text, whether it is a string or a number; empty if the
/// field is absent.
std::string
fieldText(const nlohmann::ordered_json& aEvent, std::string_view aName);

/// Formats an event as one human-readable line, without a line break.
std::string
eventToText(const nlohmann::ordered_json& aEvent);

}

#endif

#ifndef RADISHROAD_OPERATOR_EVENT_MERGE_H
#define RADISHROAD_OPERATOR_EVENT_MERGE_H

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Which events a time line shows; an empty member lets all pass.
struct EventFilter
{
  std::string mVm;
  std::string mEvent;
  std::string mRequestId;
  /// A routing key; events that name it, its hash or its shard pass.
  std::string mKey;
};

/// Merges the JSON lines of several processes into one time line: in order of
/// their wall time, lines of one source in their own order, a line that
/// several sources have once. Lines that are no event are left out.
std::vector<nlohmann::ordered_json>
mergeEvents(std::span<const std::string> aSources, const EventFilter& aFilter);

/// A field as text, whether it is a string or a number; empty if absent.
std::string
fieldText(const nlohmann::ordered_json& aEvent, std::string_view aName);

/// One event as a line for a person.
std::string
eventToText(const nlohmann::ordered_json& aEvent);

}

#endif

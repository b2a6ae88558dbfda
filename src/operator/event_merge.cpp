#include "radishroad/operator/event_merge.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <set>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::int64_t kMillisPerSecond = 1000;
/// Fields that eventToText shows before the other fields, or omits.
constexpr std::array<std::string_view, 6> kHeaderFields{
  "ms", "level", "role", "vm", "zone", "event"
};

bool
isEvent(const Json& aJson)
{
  return aJson.is_object() && aJson.contains("ms") &&
         aJson["ms"].is_number_integer() && aJson.contains("event") &&
         aJson["event"].is_string();
}

bool
matchesKey(const Json& aEvent, const std::string& aKey)
{
  const std::uint64_t hash = hash64(aKey);
  return fieldText(aEvent, "key") == aKey ||
         fieldText(aEvent, "key_hash") == std::to_string(hash) ||
         fieldText(aEvent, "shard") == std::to_string(shardOf(hash));
}

bool
matchesFilter(const Json& aEvent, const EventFilter& aFilter)
{
  const auto matches = [&aEvent](std::string_view aName,
                                 const std::string& aWanted) {
    return aWanted.empty() || fieldText(aEvent, aName) == aWanted;
  };
  const bool vm =
    matches("vm", aFilter.mVm) || fieldText(aEvent, "member_vm") == aFilter.mVm;
  return vm && matches("event", aFilter.mEvent) &&
         matches("request_id", aFilter.mRequestId) &&
         (aFilter.mKey.empty() || matchesKey(aEvent, aFilter.mKey));
}

std::string_view
takeLine(std::string_view& aText)
{
  const std::size_t end = aText.find('\n');
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return line;
}

std::string
timeToText(std::int64_t aMillis)
{
  const std::time_t seconds = aMillis / kMillisPerSecond;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction =
    std::to_string(kMillisPerSecond + aMillis % kMillisPerSecond).substr(1);
  return std::string(date.data()) + "." + fraction + "Z";
}

}

std::string
fieldText(const nlohmann::ordered_json& aEvent, std::string_view aName)
{
  const auto it = aEvent.find(aName);
  if (it == aEvent.end()) {
    return {};
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::vector<Json>
mergeEvents(std::span<const std::string> aSources, const EventFilter& aFilter)
{
  std::vector<Json> events;
  std::set<std::string_view> previousLines;
  for (const std::string& source : aSources) {
    std::string_view rest = source;
    std::set<std::string_view> sourceLines;
    while (!rest.empty()) {
      const std::string_view line = takeLine(rest);
      if (previousLines.contains(line)) {
        continue;
      }
      Json event = Json::parse(line, nullptr, false);
      if (isEvent(event) && matchesFilter(event, aFilter)) {
        events.push_back(std::move(event));
        sourceLines.insert(line);
      }
    }
    previousLines.merge(sourceLines);
  }
  std::stable_sort(
    events.begin(), events.end(), [](const Json& aLeft, const Json& aRight) {
      return aLeft["ms"].get<std::int64_t>() < aRight["ms"].get<std::int64_t>();
    });
  return events;
}

std::string
eventToText(const Json& aEvent)
{
  std::string text = timeToText(aEvent["ms"].get<std::int64_t>());
  const std::string vm = fieldText(aEvent, "vm");
  text += " " + (vm.empty() ? "-" : vm) + " " + fieldText(aEvent, "event");
  for (const auto& field : aEvent.items()) {
    const bool isHeaderField =
      std::find(kHeaderFields.begin(), kHeaderFields.end(), field.key()) !=
      kHeaderFields.end();
    if (!isHeaderField) {
      text += " " + field.key() + "=" + fieldText(aEvent, field.key());
    }
  }
  return text;
}

}

#include "radishroad/config/fields.h"

#include "radishroad/config/units.h"

#include <algorithm>

namespace radishroad::config {

int
lineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

Fields::Fields(const YAML::Node& aNode,
               std::string aSource,
               std::string aWhat,
               Findings& aFindings)
  : mSource(std::move(aSource))
  , mWhat(std::move(aWhat))
  , mFindings(aFindings)
  , mLine(radishroad::config::lineOf(aNode))
{
  if (!aNode.IsMap()) {
    add(mLine, "is not a mapping", "fields with values");
    return;
  }
  for (const auto& field : aNode) {
    const int line = radishroad::config::lineOf(field.first);
    if (!field.first.IsScalar()) {
      add(line, "has a field whose name is no text", "a field name");
      continue;
    }
    const std::string& name = field.first.Scalar();
    if (!mNodes.emplace(name, field.second).second) {
      add(line, "repeats field " + name, "each field once");
      continue;
    }
    mLines.emplace(name, line);
  }
}

int
Fields::lineOf(std::string_view aName) const
{
  const auto it = mLines.find(aName);
  return it == mLines.end() ? mLine : it->second;
}

void
Fields::add(int aLine, std::string_view aProblem, std::string aExpected)
{
  mFindings.push_back({ mSource,
                        aLine,
                        mWhat + ": " + std::string(aProblem),
                        std::move(aExpected) });
}

std::optional<YAML::Node>
Fields::node(std::string_view aName)
{
  mKnown.emplace_back(aName);
  const auto it = mNodes.find(aName);
  if (it == mNodes.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::optional<std::string>
Fields::text(std::string_view aName)
{
  const std::optional<YAML::Node> value = node(aName);
  if (!value) {
    return std::nullopt;
  }
  if (!value->IsScalar()) {
    add(lineOf(aName),
        std::string(aName) + " has the wrong type",
        "a single value");
    return std::nullopt;
  }
  return value->Scalar();
}

std::optional<std::string>
Fields::needText(std::string_view aName, std::string_view aExpected)
{
  std::optional<std::string> value = text(aName);
  if (!value && !mNodes.contains(aName)) {
    add(mLine, std::string(aName) + " is missing", std::string(aExpected));
  }
  return value;
}

bool
Fields::boolean(std::string_view aName, bool aDefault)
{
  const std::optional<std::string> value = text(aName);
  if (!value) {
    return aDefault;
  }
  if (*value != "true" && *value != "false") {
    add(lineOf(aName),
        std::string(aName) + " is \"" + *value + "\"",
        "true or false");
  }
  return *value == "true";
}

Millis
Fields::duration(std::string_view aName, Millis aDefault, Millis aLargest)
{
  const std::optional<std::string> value = text(aName);
  if (!value) {
    return aDefault;
  }
  const std::optional<Millis> parsed = parseDuration(*value);
  if (!parsed || *parsed <= Millis{ 0 } || *parsed > aLargest) {
    add(lineOf(aName),
        std::string(aName) + " is \"" + *value + "\"",
        "a duration with unit ms, s or min, from 1ms to " +
          std::to_string(aLargest.mCount) + "ms");
    return aDefault;
  }
  return *parsed;
}

std::int64_t
Fields::whole(std::string_view aName,
              std::int64_t aDefault,
              std::int64_t aLargest)
{
  const std::optional<std::string> value = text(aName);
  if (!value) {
    return aDefault;
  }
  const std::optional<std::int64_t> parsed = parseWhole(*value);
  if (!parsed || *parsed < 1 || *parsed > aLargest) {
    add(lineOf(aName),
        std::string(aName) + " is \"" + *value + "\"",
        "a whole number from 1 to " + std::to_string(aLargest));
    return aDefault;
  }
  return *parsed;
}

double
Fields::rate(std::string_view aName)
{
  constexpr std::string_view kExpected =
    "a rate above 0 with unit /s, /min or /h, such as 200/s";
  const std::optional<std::string> value = needText(aName, kExpected);
  if (!value) {
    return 0;
  }
  const std::optional<double> parsed = parseRate(*value);
  if (!parsed || *parsed <= 0) {
    add(lineOf(aName),
        std::string(aName) + " is \"" + *value + "\"",
        std::string(kExpected));
  }
  return parsed.value_or(0);
}

double
Fields::burst(std::string_view aName)
{
  constexpr std::string_view kExpected = "a number of requests, at least 1";
  const std::optional<std::string> value = needText(aName, kExpected);
  if (!value) {
    return 0;
  }
  const std::optional<double> parsed = parseNumber(*value);
  if (!parsed || *parsed < 1) {
    add(lineOf(aName),
        std::string(aName) + " is \"" + *value + "\"",
        std::string(kExpected));
  }
  return parsed.value_or(0);
}

std::vector<YAML::Node>
Fields::list(std::string_view aName, std::string_view aExpected)
{
  const std::optional<YAML::Node> value = node(aName);
  if (!value) {
    return {};
  }
  if (!value->IsSequence()) {
    add(lineOf(aName),
        std::string(aName) + " has the wrong type",
        std::string(aExpected));
    return {};
  }
  return { value->begin(), value->end() };
}

void
Fields::finish()
{
  std::string known;
  for (const std::string& name : mKnown) {
    known += known.empty() ? name : ", " + name;
  }
  for (const auto& [name, line] : mLines) {
    if (std::find(mKnown.begin(), mKnown.end(), name) == mKnown.end()) {
      add(line, "unknown field " + name, "one of: " + known);
    }
  }
}

}

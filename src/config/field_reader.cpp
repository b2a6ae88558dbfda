#include "radishroad/config/field_reader.h"

#include "radishroad/config/units.h"

#include <algorithm>

namespace radishroad::config {

int
lineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

FieldReader::FieldReader(const YAML::Node& aNode,
                         std::string aSource,
                         std::string aContext,
                         Findings& aFindings)
  : mSource(std::move(aSource))
  , mContext(std::move(aContext))
  , mFindings(aFindings)
  , mLine(radishroad::config::lineOf(aNode))
{
  if (!aNode.IsMap()) {
    addFinding(mLine, "is not a mapping", "fields with values");
    return;
  }
  for (const auto& field : aNode) {
    const int line = radishroad::config::lineOf(field.first);
    if (!field.first.IsScalar()) {
      addFinding(line, "has a field name that is not a scalar", "a field name");
      continue;
    }
    const std::string& name = field.first.Scalar();
    if (!mNodes.emplace(name, field.second).second) {
      addFinding(line, "repeats field " + name, "each field once");
      continue;
    }
    mLines.emplace(name, line);
  }
}

int
FieldReader::lineOf(std::string_view aName) const
{
  const auto it = mLines.find(aName);
  return it == mLines.end() ? mLine : it->second;
}

void
FieldReader::addFinding(int aLine,
                        std::string_view aProblem,
                        std::string aExpected)
{
  mFindings.push_back({ mSource,
                        aLine,
                        mContext + ": " + std::string(aProblem),
                        std::move(aExpected) });
}

std::optional<YAML::Node>
FieldReader::node(std::string_view aName)
{
  mKnownNames.emplace_back(aName);
  const auto it = mNodes.find(aName);
  if (it == mNodes.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::optional<std::string>
FieldReader::scalar(std::string_view aName)
{
  const std::optional<YAML::Node> value = node(aName);
  if (!value) {
    return std::nullopt;
  }
  if (!value->IsScalar()) {
    addFinding(lineOf(aName),
               std::string(aName) + " has the wrong type",
               "a single value");
    return std::nullopt;
  }
  return value->Scalar();
}

std::optional<std::string>
FieldReader::requiredScalar(std::string_view aName, std::string_view aExpected)
{
  std::optional<std::string> value = scalar(aName);
  if (!value && !mNodes.contains(aName)) {
    addFinding(
      mLine, std::string(aName) + " is missing", std::string(aExpected));
  }
  return value;
}

bool
FieldReader::boolean(std::string_view aName, bool aDefault)
{
  const std::optional<std::string> value = scalar(aName);
  if (!value) {
    return aDefault;
  }
  if (*value != "true" && *value != "false") {
    addFinding(lineOf(aName),
               std::string(aName) + " is \"" + *value + "\"",
               "true or false");
  }
  return *value == "true";
}

Millis
FieldReader::duration(std::string_view aName, Millis aDefault, Millis aMax)
{
  const std::optional<std::string> value = scalar(aName);
  if (!value) {
    return aDefault;
  }
  const std::optional<Millis> parsed = parseDuration(*value);
  if (!parsed || *parsed <= Millis{ 0 } || *parsed > aMax) {
    addFinding(lineOf(aName),
               std::string(aName) + " is \"" + *value + "\"",
               "a duration with unit ms, s or min, from 1ms to " +
                 std::to_string(aMax.mCount) + "ms");
    return aDefault;
  }
  return *parsed;
}

std::int64_t
FieldReader::integer(std::string_view aName,
                     std::int64_t aDefault,
                     std::int64_t aMax)
{
  const std::optional<std::string> value = scalar(aName);
  if (!value) {
    return aDefault;
  }
  const std::optional<std::int64_t> parsed = parseInteger(*value);
  if (!parsed || *parsed < 1 || *parsed > aMax) {
    addFinding(lineOf(aName),
               std::string(aName) + " is \"" + *value + "\"",
               "a whole number from 1 to " + std::to_string(aMax));
    return aDefault;
  }
  return *parsed;
}

double
FieldReader::rate(std::string_view aName)
{
  constexpr std::string_view kExpected =
    "a rate above 0 with unit /s, /min or /h, such as 200/s";
  const std::optional<std::string> value = requiredScalar(aName, kExpected);
  if (!value) {
    return 0;
  }
  const std::optional<double> parsed = parseRate(*value);
  if (!parsed || *parsed <= 0) {
    addFinding(lineOf(aName),
               std::string(aName) + " is \"" + *value + "\"",
               std::string(kExpected));
  }
  return parsed.value_or(0);
}

double
FieldReader::burst(std::string_view aName)
{
  constexpr std::string_view kExpected = "a number of requests, at least 1";
  const std::optional<std::string> value = requiredScalar(aName, kExpected);
  if (!value) {
    return 0;
  }
  const std::optional<double> parsed = parseNumber(*value);
  if (!parsed || *parsed < 1) {
    addFinding(lineOf(aName),
               std::string(aName) + " is \"" + *value + "\"",
               std::string(kExpected));
  }
  return parsed.value_or(0);
}

std::vector<YAML::Node>
FieldReader::list(std::string_view aName, std::string_view aExpected)
{
  const std::optional<YAML::Node> value = node(aName);
  if (!value) {
    return {};
  }
  if (!value->IsSequence()) {
    addFinding(lineOf(aName),
               std::string(aName) + " has the wrong type",
               std::string(aExpected));
    return {};
  }
  return { value->begin(), value->end() };
}

void
FieldReader::finish()
{
  std::string known;
  for (const std::string& name : mKnownNames) {
    known += known.empty() ? name : ", " + name;
  }
  for (const auto& [name, line] : mLines) {
    if (std::find(mKnownNames.begin(), mKnownNames.end(), name) ==
        mKnownNames.end()) {
      addFinding(line, "unknown field " + name, "one of: " + known);
    }
  }
}

}

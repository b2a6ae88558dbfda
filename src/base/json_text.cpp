#include "radishroad/base/json_text.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// The values that the second byte of a sequence may have, by its first byte,
/// and the sequence's length. Length 0 if no sequence begins with the byte.
struct Utf8Lead
{
  std::size_t mLength = 0;
  std::uint8_t mSecondMin = 0x80;
  std::uint8_t mSecondMax = 0xBF;
};

Utf8Lead
leadOf(std::uint8_t aByte)
{
  if (aByte < 0x80) {
    return { 1 };
  }
  if (aByte >= 0xC2 && aByte <= 0xDF) {
    return { 2 };
  }
  if (aByte >= 0xE0 && aByte <= 0xEF) {
    // No overlong forms and no surrogates.
    return { 3,
             static_cast<std::uint8_t>(aByte == 0xE0 ? 0xA0 : 0x80),
             static_cast<std::uint8_t>(aByte == 0xED ? 0x9F : 0xBF) };
  }
  if (aByte >= 0xF0 && aByte <= 0xF4) {
    return { 4,
             static_cast<std::uint8_t>(aByte == 0xF0 ? 0x90 : 0x80),
             static_cast<std::uint8_t>(aByte == 0xF4 ? 0x8F : 0xBF) };
  }
  return {};
}

/// Length of the character that aText begins with; 0 if it is not valid UTF-8.
std::size_t
characterLength(std::string_view aText)
{
  const Utf8Lead lead = leadOf(static_cast<std::uint8_t>(aText.front()));
  if (aText.size() < lead.mLength) {
    return 0;
  }
  for (std::size_t n = 1; n < lead.mLength; ++n) {
    const std::uint8_t byte = static_cast<std::uint8_t>(aText[n]);
    const std::uint8_t min = n == 1 ? lead.mSecondMin : 0x80;
    const std::uint8_t max = n == 1 ? lead.mSecondMax : 0xBF;
    if (byte < min || byte > max) {
      return 0;
    }
  }
  return lead.mLength;
}

}

bool
isUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t n = characterLength(aText);
    if (n == 0) {
      return false;
    }
    aText.remove_prefix(n);
  }
  return true;
}

std::string
replaceInvalidUtf8(std::string_view aText)
{
  constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
  std::string text;
  text.reserve(aText.size());
  while (!aText.empty()) {
    const std::size_t n = characterLength(aText);
    text += n == 0 ? kReplacement : aText.substr(0, n);
    aText.remove_prefix(std::max<std::size_t>(1, n));
  }
  return text;
}

Result<nlohmann::json>
parseJson(std::string_view aText)
{
  using Event = nlohmann::json::parse_event_t;
  bool tooDeep = false;
  const auto keep =
    [&tooDeep](int aDepth, Event aEvent, const nlohmann::json&) {
      const bool begins =
        aEvent == Event::object_start || aEvent == Event::array_start;
      tooDeep = tooDeep || (begins && aDepth >= kMaxJsonDepth);
      // Values that are not kept are not built.
      return !tooDeep;
    };
  nlohmann::json value = nlohmann::json::parse(aText, keep, false);
  if (tooDeep) {
    return fail(ErrorCode::Corrupt,
                "JSON is nested deeper than " + std::to_string(kMaxJsonDepth) +
                  " levels");
  }
  if (value.is_discarded()) {
    return fail(ErrorCode::Corrupt, "invalid JSON");
  }
  return value;
}

std::string
writeJson(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

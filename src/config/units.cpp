#include "radishroad/config/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <string>

namespace radishroad::config {

namespace {

struct Unit
{
  std::string_view mName;
  std::int64_t mFactor;
};

constexpr std::array<Unit, 3> kRateUnits{
  { { "s", 1 }, { "min", 60 }, { "h", 3600 } }
};
constexpr std::array<Unit, 3> kTimeUnits{
  { { "ms", 1 }, { "min", 60000 }, { "s", 1000 } }
};

std::optional<std::string_view>
withoutSuffix(std::string_view aText, std::string_view aSuffix)
{
  if (!aText.ends_with(aSuffix)) {
    return std::nullopt;
  }
  aText.remove_suffix(aSuffix.size());
  return aText;
}

template<typename Number>
std::optional<Number>
parseFully(std::string_view aText)
{
  Number value{};
  const char* end = aText.data() + aText.size();
  const std::from_chars_result result =
    std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}

std::optional<double>
parseNumber(std::string_view aText)
{
  const std::optional<double> value = parseFully<double>(aText);
  if (!value || !std::isfinite(*value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t>
parseInteger(std::string_view aText)
{
  return parseFully<std::int64_t>(aText);
}

std::optional<double>
parseRate(std::string_view aText)
{
  for (const Unit& unit : kRateUnits) {
    const std::string suffix = "/" + std::string(unit.mName);
    const std::optional<std::string_view> number = withoutSuffix(aText, suffix);
    if (!number) {
      continue;
    }
    const std::optional<double> value = parseNumber(*number);
    if (!value) {
      return std::nullopt;
    }
    return *value / static_cast<double>(unit.mFactor);
  }
  return std::nullopt;
}

std::optional<Millis>
parseDuration(std::string_view aText)
{
  constexpr std::int64_t kMaxCount = 1'000'000'000;
  for (const Unit& unit : kTimeUnits) {
    const std::optional<std::string_view> number =
      withoutSuffix(aText, unit.mName);
    if (!number) {
      continue;
    }
    const std::optional<std::int64_t> value = parseInteger(*number);
    if (!value || std::abs(*value) > kMaxCount) {
      return std::nullopt;
    }
    return Millis{ *value * unit.mFactor };
  }
  return std::nullopt;
}

}

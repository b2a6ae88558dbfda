#ifndef RADISHROAD_CONFIG_UNITS_H
#define RADISHROAD_CONFIG_UNITS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace radishroad::config {

/// Parses a rate such as "200/s", "3000/min" or "100/h" to requests per second.
std::optional<double>
parseRate(std::string_view aText);

/// Parses a duration such as "800ms", "2s" or "1min".
std::optional<Millis>
parseDuration(std::string_view aText);

/// Parses a decimal number without a unit.
std::optional<double>
parseNumber(std::string_view aText);

/// Parses an integer without a unit.
std::optional<std::int64_t>
parseInteger(std::string_view aText);

}

#endif

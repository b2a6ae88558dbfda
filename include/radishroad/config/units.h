#ifndef RADISHROAD_CONFIG_UNITS_H
#define RADISHROAD_CONFIG_UNITS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace radishroad::config {

/// "200/s", "3000/min" or "100/h", as requests a second.
std::optional<double>
parseRate(std::string_view aText);

/// "800ms", "2s" or "1min".
std::optional<Millis>
parseDuration(std::string_view aText);

/// A decimal number without a unit.
std::optional<double>
parseNumber(std::string_view aText);

/// A whole number without a unit.
std::optional<std::int64_t>
parseWhole(std::string_view aText);

}

#endif

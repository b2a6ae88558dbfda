#ifndef RADISHROAD_CONFIG_PATH_PATTERN_H
#define RADISHROAD_CONFIG_PATH_PATTERN_H

#include <string>
#include <string_view>

namespace radishroad::config {

/// Segment that matches the routing key.
constexpr std::string_view kKeySegment = "{key}";
/// Last segment that matches any remainder of a path, including none.
constexpr std::string_view kWildcardSegment = "*";

/// Describes what is wrong with a route's path pattern; empty if it is valid.
std::string
pathPatternProblem(std::string_view aPattern);

/// Whether the pattern has a {key} segment.
bool
patternHasKey(std::string_view aPattern);

/// Whether some path matches both patterns, which must be valid.
bool
patternsOverlap(std::string_view aFirst, std::string_view aSecond);

}

#endif

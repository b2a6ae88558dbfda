#ifndef RADISHROAD_CONFIG_PATH_PATTERN_H
#define RADISHROAD_CONFIG_PATH_PATTERN_H

#include <string>
#include <string_view>

namespace radishroad::config {

/// Segment that holds the routing key.
constexpr std::string_view kKeySegment = "{key}";
/// Last segment that stands for any rest of a path, an empty one included.
constexpr std::string_view kRestSegment = "*";

/// What is wrong with a route's path pattern; empty if it is well formed.
std::string
pathPatternProblem(std::string_view aPattern);

/// The pattern has a {key} segment.
bool
patternHasKey(std::string_view aPattern);

/// Some path matches both well-formed patterns.
bool
patternsOverlap(std::string_view aFirst, std::string_view aSecond);

}

#endif

#ifndef RADISHROAD_CALLER_TARGET_CHECK_H
#define RADISHROAD_CALLER_TARGET_CHECK_H

#include <string>
#include <string_view>

namespace radishroad {

/// Describes what is wrong with a request target. Empty if the target is an
/// absolute path, with or without a query, that all servers interpret alike: no
/// dot segments, encoded slashes, encoded NUL or invalid escapes.
std::string
targetProblem(std::string_view aTarget);

}

#endif

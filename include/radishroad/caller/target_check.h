#ifndef RADISHROAD_CALLER_TARGET_CHECK_H
#define RADISHROAD_CALLER_TARGET_CHECK_H

#include <string>
#include <string_view>

namespace radishroad {

/// What is wrong with a request target; empty if it is an absolute path, with
/// or without a query, that means the same to every server that decodes it:
/// no dot segments, no encoded slashes or NUL, no broken escapes.
std::string
targetProblem(std::string_view aTarget);

}

#endif

#ifndef RADISHROAD_TOOLS_COMMON_ARGUMENTS_H
#define RADISHROAD_TOOLS_COMMON_ARGUMENTS_H

#include <popt.h>

namespace radishroad::tools {

/// Exit code for invalid arguments.
constexpr int kUsageError = 2;

/// Must be called with the last result of poptGetNextOpt. Prints the error of
/// that option, if any, and frees the context. Returns true if all arguments
/// were read.
bool
finishArguments(poptContext aContext, int aLastResult);

}

#endif

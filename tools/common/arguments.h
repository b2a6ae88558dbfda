#ifndef RADISHROAD_TOOLS_COMMON_ARGUMENTS_H
#define RADISHROAD_TOOLS_COMMON_ARGUMENTS_H

#include <popt.h>

namespace radishroad::tools {

/// Exit code for wrong arguments.
constexpr int kUsageError = 2;

/// To be called with what poptGetNextOpt returned last: prints what is wrong
/// with that option, if anything, and frees the context. True if all arguments
/// were read.
bool
endArguments(poptContext aContext, int aLast);

}

#endif

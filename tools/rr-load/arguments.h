#ifndef RADISHROAD_TOOLS_RR_LOAD_ARGUMENTS_H
#define RADISHROAD_TOOLS_RR_LOAD_ARGUMENTS_H

#include "rr-load/options.h"

#include <optional>

namespace radishroad::tools {

/// Reads the command line; says on standard error what is wrong with it.
std::optional<LoadOptions>
parseArguments(int aCount, const char** aValues);

}

#endif

#ifndef RADISHROAD_TOOLS_RR_LOAD_ARGUMENTS_H
#define RADISHROAD_TOOLS_RR_LOAD_ARGUMENTS_H

#include "rr-load/options.h"

#include <optional>

namespace radishroad::tools {

/// Parses the command line; prints an error to standard error if it is invalid.
std::optional<LoadOptions>
parseArguments(int aCount, const char** aValues);

}

#endif

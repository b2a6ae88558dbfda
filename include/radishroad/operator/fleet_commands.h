#ifndef RADISHROAD_OPERATOR_FLEET_COMMANDS_H
#define RADISHROAD_OPERATOR_FLEET_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct Surroundings;

/// The commands about the running fleet. None writes to the terminal.

CommandResult
status(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
owners(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
timeline(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
explain(const Arguments& aArguments, const Surroundings& aSurroundings);

}

#endif

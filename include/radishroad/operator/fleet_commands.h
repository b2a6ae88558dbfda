#ifndef RADISHROAD_OPERATOR_FLEET_COMMANDS_H
#define RADISHROAD_OPERATOR_FLEET_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct CommandContext;

/// Commands that inspect the running fleet. They return their output and do not
/// write to the terminal.

CommandResult
status(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
owners(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
timeline(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
explain(const Arguments& aArguments, const CommandContext& aContext);

}

#endif

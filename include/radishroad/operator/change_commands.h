#ifndef RADISHROAD_OPERATOR_CHANGE_COMMANDS_H
#define RADISHROAD_OPERATOR_CHANGE_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct CommandContext;

/// Commands that take VMs and availability zones out of service or return them
/// to service. They return their output and do not write to the terminal.

/// Positional arguments: "vm" or "zone", its name, "on" or "off".
CommandResult
drain(const Arguments& aArguments, const CommandContext& aContext);

/// Positional argument: the name of a VM that is known to be destroyed.
CommandResult
declareLost(const Arguments& aArguments, const CommandContext& aContext);

}

#endif

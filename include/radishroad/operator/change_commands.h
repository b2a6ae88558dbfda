#ifndef RADISHROAD_OPERATOR_CHANGE_COMMANDS_H
#define RADISHROAD_OPERATOR_CHANGE_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct Surroundings;

/// The commands that take VMs and availability zones out of service. None
/// writes to the terminal.

/// Words: vm or zone, a name, on or off.
CommandResult
drain(const Arguments& aArguments, const Surroundings& aSurroundings);

/// Words: the name of a VM that is known to be destroyed.
CommandResult
declareLost(const Arguments& aArguments, const Surroundings& aSurroundings);

}

#endif

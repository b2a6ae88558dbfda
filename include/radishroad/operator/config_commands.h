#ifndef RADISHROAD_OPERATOR_CONFIG_COMMANDS_H
#define RADISHROAD_OPERATOR_CONFIG_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct PublicationEnd;
struct Surroundings;

/// The commands about the configuration. Each takes its words and options and
/// says how it ended; none writes to the terminal.

CommandResult
configCheck(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
configPublish(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
configShow(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
configDiff(const Arguments& aArguments, const Surroundings& aSurroundings);

CommandResult
keyHash(const Arguments& aArguments, const Surroundings& aSurroundings);

/// The end of a publication; with --wait, once it is in force or the time is
/// up.
CommandResult
reportPublication(const PublicationEnd& aEnd,
                  const Arguments& aArguments,
                  const Surroundings& aSurroundings);

}

#endif

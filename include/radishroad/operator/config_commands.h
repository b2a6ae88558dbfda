#ifndef RADISHROAD_OPERATOR_CONFIG_COMMANDS_H
#define RADISHROAD_OPERATOR_CONFIG_COMMANDS_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

namespace radishroad {

struct PublishResult;
struct CommandContext;

/// Commands that check, publish and show the configuration. They return their
/// output and do not write to the terminal.

CommandResult
configCheck(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
configPublish(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
configShow(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
configDiff(const Arguments& aArguments, const CommandContext& aContext);

CommandResult
keyHash(const Arguments& aArguments, const CommandContext& aContext);

/// Reports the result of a publish. With --wait, first waits until the version
/// is active on all live daemons or the timeout expires.
CommandResult
reportPublishResult(const PublishResult& aPublished,
                    const Arguments& aArguments,
                    const CommandContext& aContext);

}

#endif

#ifndef RADISHROAD_DAEMON_PROGRAM_H
#define RADISHROAD_DAEMON_PROGRAM_H

#include "radishroad/daemon/daemon_hooks.h"

namespace radishroad {

/// The daemon as a whole process: reads settings from flags and environment,
/// logs to standard output, and runs one incarnation after the other until
/// SIGTERM or SIGINT. To be called from main; returns the exit status.
int
runDaemonProgram(int aCount, char** aArguments, const DaemonHooks& aHooks);

}

#endif

#ifndef RADISHROAD_DAEMON_PROGRAM_H
#define RADISHROAD_DAEMON_PROGRAM_H

#include "radishroad/daemon/daemon_hooks.h"

namespace radishroad {

/// Runs the daemon process: reads settings from flags and environment, logs to
/// standard output, and runs one incarnation after another until SIGTERM or
/// SIGINT. Called from main; returns the exit status, or ends the process with
/// it if the daemon has run.
int
runDaemonProgram(int aCount, char** aArguments, const DaemonHooks& aHooks);

}

#endif

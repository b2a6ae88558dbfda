#include "radishroad/daemon/program.h"

/// A daemon that retries every request with an unknown outcome, also those
/// that must not run twice.
int
main(int aCount, char** aArguments)
{
  radishroad::DaemonHooks hooks;
  hooks.mMayRunTwice = [](const radishroad::ForwardRequest&) { return true; };
  return radishroad::runDaemonProgram(aCount, aArguments, hooks);
}

#include "radishroad/daemon/program.h"

/// A daemon that sends every request with an unknown outcome again.
int
main(int aCount, char** aArguments)
{
  radishroad::DaemonHooks hooks;
  hooks.mMayRunTwice = [](const radishroad::ForwardRequest&) { return true; };
  return radishroad::runDaemonProgram(aCount, aArguments, hooks);
}

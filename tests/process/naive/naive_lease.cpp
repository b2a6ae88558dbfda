#include "radishroad/daemon/program.h"

/// A daemon that serves what it owns by its newest state, whether or not its
/// lease is held.
int
main(int aCount, char** aArguments)
{
  constexpr radishroad::Millis kForever{ INT64_MAX };
  radishroad::DaemonHooks hooks;
  hooks.mServeUntil = [](radishroad::Millis) { return kForever; };
  return radishroad::runDaemonProgram(aCount, aArguments, hooks);
}

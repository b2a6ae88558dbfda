#include "radishroad/daemon/program.h"

/// A daemon without the lease check: it serves every key that it owns by its
/// latest state, whether or not it holds its lease.
int
main(int aCount, char** aArguments)
{
  constexpr radishroad::Millis kNoExpiry{ INT64_MAX };
  radishroad::DaemonHooks hooks;
  hooks.mServeUntil = [](radishroad::Millis) { return kNoExpiry; };
  return radishroad::runDaemonProgram(aCount, aArguments, hooks);
}

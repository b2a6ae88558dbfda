#include "platform/protocol.h"
#include "radishroad/daemon/program.h"

int
main(int aCount, char** aArguments)
{
  radishroad::DaemonHooks hooks;
  hooks.mMakeProtocol = radishroad::platform::makeProtocol;
  return radishroad::runDaemonProgram(aCount, aArguments, hooks);
}

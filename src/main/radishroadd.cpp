#include "radishroad/daemon/program.h"

int
main(int aCount, char** aArguments)
{
  return radishroad::runDaemonProgram(aCount, aArguments, {});
}

#include "radishroad/daemon/program.h"

#include <chrono>
#include <thread>

namespace {

/// Stands for a library whose static object never finishes its destructor.
struct EndlessTeardown
{
  EndlessTeardown() = default;
  ~EndlessTeardown() { std::this_thread::sleep_for(std::chrono::hours(1)); }
  EndlessTeardown(const EndlessTeardown&) = delete;
  EndlessTeardown& operator=(const EndlessTeardown&) = delete;
};

const EndlessTeardown sTeardown;

}

/// The daemon in a process with such a library.
int
main(int aCount, char** aArguments)
{
  return radishroad::runDaemonProgram(aCount, aArguments, {});
}

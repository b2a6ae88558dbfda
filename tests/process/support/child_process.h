#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H

#include "radishroad/base/millis.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace radishroad::test {

/// A program started by a test; killed, if need be, with this object.
class ChildProcess
{
public:
  /// Starts a program with its output going to a file. Throws
  /// std::runtime_error if it cannot be started.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::filesystem::path& aOutput);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const;
  void signal(int aSignal) const;
  bool isRunning();
  /// Exit code, or 128 + signal; nothing if it still runs after the time.
  std::optional<int> waitForExit(Millis aTimeout);
  /// Kills with SIGKILL and reaps.
  void kill();

private:
  void reap(bool aBlock);

  pid_t mPid = -1;
  std::optional<int> mExitCode;
};

/// Runs a program to its end; its exit code, or 128 + signal.
int
runToCompletion(const std::vector<std::string>& aCommand,
                const std::filesystem::path& aOutput,
                Millis aTimeout);

}

#endif

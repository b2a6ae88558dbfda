#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_CHILD_PROCESS_H

#include "radishroad/base/millis.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace radishroad::test {

/// A program started by a test. The destructor kills it if it still runs.
class ChildProcess
{
public:
  /// Starts a program with stdout and stderr redirected to a file. Throws
  /// std::runtime_error if it cannot be started.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::filesystem::path& aOutput);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const;
  void signal(int aSignal) const;
  bool isRunning();
  /// Returns the exit code, or 128 + signal number; nullopt if the program
  /// still runs after the timeout.
  std::optional<int> waitForExit(Millis aTimeout);
  /// Sends SIGKILL and reaps the process.
  void kill();

private:
  void reap(bool aBlock);

  pid_t mPid = -1;
  std::optional<int> mExitCode;
};

/// Runs a program until it exits and returns its exit code, or 128 + signal
/// number. Kills it after the timeout.
int
runToCompletion(const std::vector<std::string>& aCommand,
                const std::filesystem::path& aOutput,
                Millis aTimeout);

}

#endif

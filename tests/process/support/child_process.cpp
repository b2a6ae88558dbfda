#include "support/child_process.h"

#include "support/wait.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace radishroad::test {

namespace {

constexpr int kSignalExitBase = 128;
constexpr int kFileMode = 0644;

/// posix_spawn file actions that redirect stdout and stderr to one file.
class OutputRedirection
{
public:
  explicit OutputRedirection(const std::filesystem::path& aFile)
  {
    posix_spawn_file_actions_init(&mActions);
    posix_spawn_file_actions_addopen(&mActions,
                                     STDOUT_FILENO,
                                     aFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kFileMode);
    posix_spawn_file_actions_adddup2(&mActions, STDOUT_FILENO, STDERR_FILENO);
  }
  ~OutputRedirection() { posix_spawn_file_actions_destroy(&mActions); }
  OutputRedirection(const OutputRedirection&) = delete;
  OutputRedirection& operator=(const OutputRedirection&) = delete;

  const posix_spawn_file_actions_t* get() const { return &mActions; }

private:
  posix_spawn_file_actions_t mActions{};
};

}

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           const std::filesystem::path& aOutput)
{
  std::filesystem::create_directories(aOutput.parent_path());
  std::vector<char*> arguments;
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const OutputRedirection output(aOutput);
  const int exitCode = posix_spawn(&mPid,
                                   aCommand.front().c_str(),
                                   output.get(),
                                   nullptr,
                                   arguments.data(),
                                   environ);
  if (exitCode != 0) {
    throw std::runtime_error(aCommand.front() + ": " + std::strerror(exitCode));
  }
}

ChildProcess::~ChildProcess()
{
  kill();
}

pid_t
ChildProcess::pid() const
{
  return mPid;
}

void
ChildProcess::signal(int aSignal) const
{
  if (!mExitCode) {
    ::kill(mPid, aSignal);
  }
}

bool
ChildProcess::isRunning()
{
  reap(false);
  return !mExitCode;
}

std::optional<int>
ChildProcess::waitForExit(Millis aTimeout)
{
  waitFor([this] { return !isRunning(); }, aTimeout);
  return mExitCode;
}

void
ChildProcess::kill()
{
  if (isRunning()) {
    ::kill(mPid, SIGKILL);
    reap(true);
  }
}

void
ChildProcess::reap(bool aBlock)
{
  if (mExitCode) {
    return;
  }
  int status = 0;
  if (::waitpid(mPid, &status, aBlock ? 0 : WNOHANG) != mPid) {
    return;
  }
  mExitCode = WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                                  : WEXITSTATUS(status);
}

int
runToCompletion(const std::vector<std::string>& aCommand,
                const std::filesystem::path& aOutput,
                Millis aTimeout)
{
  ChildProcess process(aCommand, aOutput);
  const std::optional<int> exitCode = process.waitForExit(aTimeout);
  return exitCode ? *exitCode : kSignalExitBase + SIGKILL;
}

}

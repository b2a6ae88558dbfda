#ifndef RADISHROAD_OPERATOR_COMMAND_TABLE_H
#define RADISHROAD_OPERATOR_COMMAND_TABLE_H

#include "radishroad/operator/arguments.h"
#include "radishroad/operator/command_result.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

struct CommandContext;

/// One command of the operator command line.
struct Command
{
  /// The full name, such as "config check". If mHasShortName is set, the last
  /// word alone is also accepted.
  std::string_view mName;
  /// The positional arguments as shown in the usage line.
  std::string_view mPositionalSyntax;
  std::size_t mMinPositionals = 0;
  std::size_t mMaxPositionals = 0;
  std::string_view mSummary;
  std::vector<Option> mOptions;
  bool mNeedsLog = false;
  bool mHasShortName = false;
  CommandResult (*mRun)(const Arguments&, const CommandContext&) = nullptr;
};

std::span<const Command>
allCommands();

/// Creates the command context for a log service address.
using CommandContextFactory = std::function<CommandContext(const std::string&)>;

/// The output and exit code of a command line.
struct CommandOutput
{
  ExitCode mCode = ExitCode::Ok;
  std::string mOut;
  std::string mError;
};

/// Runs the command named by the arguments, which exclude the program name.
CommandOutput
runCommandLine(std::span<const std::string> aArguments,
               const GetEnvFn& aGetEnv,
               const CommandContextFactory& aMakeContext);

}

#endif

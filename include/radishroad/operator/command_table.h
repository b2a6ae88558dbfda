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

struct Surroundings;

/// One command of the operators' command line.
struct Command
{
  /// "config check"; also known by its last word alone if mHasShortName.
  std::string_view mName;
  /// Words after the options, as shown in its usage.
  std::string_view mWords;
  std::size_t mLeastWords = 0;
  std::size_t mMostWords = 0;
  std::string_view mSummary;
  std::vector<Option> mOptions;
  bool mNeedsLog = false;
  bool mHasShortName = false;
  CommandResult (*mRun)(const Arguments&, const Surroundings&) = nullptr;
};

std::span<const Command>
allCommands();

/// Makes the surroundings for a log address.
using SurroundingsFn = std::function<Surroundings(const std::string&)>;

/// What the command line prints and its exit code.
struct CommandOutput
{
  ExitCode mCode = ExitCode::Ok;
  std::string mOut;
  std::string mError;
};

/// Runs the command that the words (without the program's name) ask for.
CommandOutput
runCommandLine(std::span<const std::string> aWords,
               const GetEnvFn& aGetEnv,
               const SurroundingsFn& aMakeSurroundings);

}

#endif

#include "radishroad/operator/command_table.h"

#include "radishroad/operator/change_commands.h"
#include "radishroad/operator/config_commands.h"
#include "radishroad/operator/fleet_commands.h"
#include "radishroad/operator/surroundings.h"
#include "radishroad/operator/text_table.h"

#include <algorithm>
#include <optional>

namespace radishroad {

namespace {

constexpr std::size_t kManyWords = 10000;
constexpr std::string_view kExitCodes =
  "Exit codes: 0 done; 1 findings, a lost race, a refusal, a difference, or\n"
  "not in force or not ready everywhere; 2 wrong command line; 3 the log or a\n"
  "daemon does not answer, or the end of a change is unknown.\n";

std::vector<Option>
withCommon(std::vector<Option> aOptions)
{
  aOptions.push_back(Option::Json);
  aOptions.push_back(Option::Help);
  return aOptions;
}

std::vector<Command>
makeCommands()
{
  const std::vector<Option> local = withCommon({});
  const std::vector<Option> reading = withCommon({ Option::LogAddress });
  const std::vector<Option> changing =
    withCommon({ Option::LogAddress, Option::Operator, Option::Timeout });
  return {
    { "config check",
      "DIR",
      1,
      1,
      "Finds all mistakes in a folder of files.",
      local,
      false,
      true,
      configCheck },
    { "config publish",
      "DIR",
      1,
      1,
      "Checks a folder and publishes it as the next version.",
      withCommon({ Option::LogAddress,
                   Option::Operator,
                   Option::Timeout,
                   Option::Wait,
                   Option::Base }),
      true,
      true,
      configPublish },
    { "config show",
      "",
      0,
      0,
      "Shows the published configuration.",
      reading,
      true,
      true,
      configShow },
    { "config diff",
      "DIR",
      1,
      1,
      "Shows how a folder differs from what is published.",
      reading,
      true,
      true,
      configDiff },
    { "status",
      "",
      0,
      0,
      "Shows the live daemons and whether they are ready.",
      withCommon({ Option::LogAddress, Option::Daemon }),
      false,
      false,
      status },
    { "owners",
      "",
      0,
      0,
      "Shows which VM owns which shards, or who owns a key.",
      withCommon(
        { Option::LogAddress, Option::Service, Option::Key, Option::Shards }),
      true,
      false,
      owners },
    { "drain",
      "vm|zone NAME on|off",
      3,
      3,
      "Takes a VM or an availability zone out of service, or back in.",
      withCommon({ Option::LogAddress,
                   Option::Operator,
                   Option::Timeout,
                   Option::Wait }),
      true,
      false,
      drain },
    { "declare-lost",
      "VM",
      1,
      1,
      "States that a VM is destroyed, so that its keys get new owners at "
      "once.\nSay it only of a VM that is known to run no more: if it still "
      "runs, two\nowners may serve a key.",
      changing,
      true,
      false,
      declareLost },
    { "key hash",
      "[KEY]",
      0,
      1,
      "Prints the hash of a caller's key for the configuration. Reads the "
      "key\nfrom standard input if none is given.",
      local,
      false,
      false,
      keyHash },
    { "timeline",
      "[FILE...]",
      0,
      kManyWords,
      "Merges the events of all daemons, and those in log files, in time "
      "order.",
      withCommon({ Option::LogAddress,
                   Option::Daemon,
                   Option::Vm,
                   Option::Event,
                   Option::Request,
                   Option::Key }),
      false,
      false,
      timeline },
    { "explain",
      "REQUEST-ID FILE...",
      2,
      kManyWords,
      "Tells a request's course and the cause of its end from the daemons' "
      "log\nfiles, and what is missing in them.",
      local,
      false,
      false,
      explain },
  };
}

struct Match
{
  const Command* mCommand = nullptr;
  /// Words of the command line that name it.
  std::size_t mWords = 0;
};

Match
findCommand(std::span<const std::string> aWords)
{
  for (const Command& command : allCommands()) {
    const std::string_view name = command.mName;
    const std::size_t space = name.find(' ');
    const bool pair = space != std::string_view::npos && aWords.size() >= 2 &&
                      aWords[0] == name.substr(0, space) &&
                      aWords[1] == name.substr(space + 1);
    if (pair) {
      return { &command, 2 };
    }
    const std::string_view shortName =
      command.mHasShortName ? name.substr(space + 1) : name;
    if (!aWords.empty() && aWords[0] == shortName) {
      return { &command, 1 };
    }
  }
  return {};
}

std::string
describeAll()
{
  std::string text = "Usage: radishroad COMMAND [OPTION...] [WORD...]\n\n";
  TextTable table({ "command", "" });
  for (const Command& command : allCommands()) {
    const std::string_view summary = command.mSummary;
    table.add({ std::string(command.mName) + " " + std::string(command.mWords),
                std::string(summary.substr(0, summary.find('.') + 1)) });
  }
  return text + table.toText() + "\nEach command takes --help and --json.\n\n" +
         std::string(kExitCodes);
}

std::string
usageOf(const Command& aCommand)
{
  return "Usage: radishroad " + std::string(aCommand.mName) + " [OPTION...] " +
         std::string(aCommand.mWords) + "\n";
}

std::string
describe(const Command& aCommand)
{
  return usageOf(aCommand) + std::string(aCommand.mSummary) + "\n\n" +
         describeOptions(aCommand.mOptions) + "\n" + std::string(kExitCodes);
}

CommandOutput
usageError(const std::string& aMessage)
{
  return { ExitCode::Usage, "", aMessage };
}

std::string
toText(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += finding.toString() + "\n";
  }
  return text;
}

/// What is wrong with the arguments of the command; empty if nothing is.
std::string
problemOf(const Command& aCommand, const Arguments& aArguments)
{
  const std::size_t n = aArguments.mWords.size();
  if (n < aCommand.mLeastWords || n > aCommand.mMostWords) {
    return "wrong number of words\n" + usageOf(aCommand);
  }
  if (aCommand.mNeedsLog && aArguments.mLogAddress.empty()) {
    return "the log's address is not set; expected --log-address or "
           "RADISHROAD_LOG_ADDRESS\n";
  }
  return {};
}

CommandOutput
toOutput(const CommandResult& aResult, bool aJson)
{
  CommandOutput output;
  output.mCode = aResult.mCode;
  output.mOut = aJson ? aResult.mJson.dump(2) + "\n" : aResult.mText;
  if (!aResult.mError.empty()) {
    output.mError = "radishroad: " + aResult.mError;
    output.mError += output.mError.ends_with('\n') ? "" : "\n";
  }
  return output;
}

}

std::span<const Command>
allCommands()
{
  static const std::vector<Command> sCommands = makeCommands();
  return sCommands;
}

CommandOutput
runCommandLine(std::span<const std::string> aWords,
               const GetEnvFn& aGetEnv,
               const SurroundingsFn& aMakeSurroundings)
{
  const Match match = findCommand(aWords);
  const bool wantsHelp =
    std::find(aWords.begin(), aWords.end(), "--help") != aWords.end();
  if (match.mCommand == nullptr && wantsHelp) {
    return { ExitCode::Ok, describeAll(), "" };
  }
  if (match.mCommand == nullptr) {
    return usageError((aWords.empty() ? "no command is given\n"
                                      : "unknown command " + aWords[0] + "\n") +
                      describeAll());
  }
  const Command& command = *match.mCommand;
  const tl::expected<Arguments, Findings> arguments =
    readArguments(command.mOptions, aWords.subspan(match.mWords), aGetEnv);
  if (!arguments) {
    return usageError(toText(arguments.error()) + usageOf(command));
  }
  if (arguments->mHelp) {
    return { ExitCode::Ok, describe(command), "" };
  }
  const std::string problem = problemOf(command, *arguments);
  if (!problem.empty()) {
    return usageError(problem);
  }
  const CommandResult result =
    command.mRun(*arguments, aMakeSurroundings(arguments->mLogAddress));
  return toOutput(result, arguments->mJson);
}

}

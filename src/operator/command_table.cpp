#include "radishroad/operator/command_table.h"

#include "radishroad/operator/change_commands.h"
#include "radishroad/operator/command_context.h"
#include "radishroad/operator/config_commands.h"
#include "radishroad/operator/fleet_commands.h"
#include "radishroad/operator/text_table.h"

#include <algorithm>
#include <optional>

namespace radishroad {

namespace {

constexpr std::size_t kMaxVariadicArguments = 10000;
constexpr std::string_view kExitCodesHelp =
  "Exit codes: 0 success; 1 findings, lost publish race, refused change,\n"
  "difference, or not active or not ready on all daemons; 2 invalid command\n"
  "line; 3 log or daemon not responding, or outcome of a change unknown.\n";

std::vector<Option>
withCommonOptions(std::vector<Option> aOptions)
{
  aOptions.push_back(Option::Json);
  aOptions.push_back(Option::Help);
  return aOptions;
}

std::vector<Command>
makeCommands()
{
  const std::vector<Option> localOptions = withCommonOptions({});
  const std::vector<Option> readOptions =
    withCommonOptions({ Option::LogAddress });
  const std::vector<Option> changeOptions = withCommonOptions(
    { Option::LogAddress, Option::Operator, Option::Timeout });
  return {
    { "config check",
      "DIR",
      1,
      1,
      "Checks the configuration files in a folder and reports all errors.",
      localOptions,
      false,
      true,
      configCheck },
    { "config publish",
      "DIR",
      1,
      1,
      "Checks a configuration folder and publishes it as the next version.",
      withCommonOptions({ Option::LogAddress,
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
      readOptions,
      true,
      true,
      configShow },
    { "config diff",
      "DIR",
      1,
      1,
      "Compares a folder with the published configuration.",
      readOptions,
      true,
      true,
      configDiff },
    { "status",
      "",
      0,
      0,
      "Shows the live daemons and whether they are ready.",
      withCommonOptions({ Option::LogAddress, Option::Daemon }),
      false,
      false,
      status },
    { "owners",
      "",
      0,
      0,
      "Shows which VM owns which shards, or who owns a key.",
      withCommonOptions(
        { Option::LogAddress, Option::Service, Option::Key, Option::Shards }),
      true,
      false,
      owners },
    { "drain",
      "vm|zone NAME on|off",
      3,
      3,
      "Takes a VM or an availability zone out of service, or returns it.",
      withCommonOptions({ Option::LogAddress,
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
      "Declares a VM destroyed, so that its keys get new owners at once.\nUse "
      "it only for a VM that is known not to run any more: if it still runs,\n"
      "two owners may serve the same key.",
      changeOptions,
      true,
      false,
      declareLost },
    { "key hash",
      "[KEY]",
      0,
      1,
      "Prints the hash of a caller's API key as used in the configuration.\n"
      "Reads the key from standard input if none is given.",
      localOptions,
      false,
      false,
      keyHash },
    { "timeline",
      "[FILE...]",
      0,
      kMaxVariadicArguments,
      "Merges the events of all daemons and of log files in time order.",
      withCommonOptions({ Option::LogAddress,
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
      kMaxVariadicArguments,
      "Explains what happened to a request and why, from the daemons' log\n"
      "files, and lists what is missing in them.",
      localOptions,
      false,
      false,
      explain },
  };
}

struct CommandMatch
{
  const Command* mCommand = nullptr;
  /// Number of leading arguments that form the command name.
  std::size_t mWordCount = 0;
};

CommandMatch
findCommand(std::span<const std::string> aArguments)
{
  for (const Command& command : allCommands()) {
    const std::string_view name = command.mName;
    const std::size_t space = name.find(' ');
    const bool matchesBothWords = space != std::string_view::npos &&
                                  aArguments.size() >= 2 &&
                                  aArguments[0] == name.substr(0, space) &&
                                  aArguments[1] == name.substr(space + 1);
    if (matchesBothWords) {
      return { &command, 2 };
    }
    const std::string_view shortName =
      command.mHasShortName ? name.substr(space + 1) : name;
    if (!aArguments.empty() && aArguments[0] == shortName) {
      return { &command, 1 };
    }
  }
  return {};
}

std::string
describeAllCommands()
{
  std::string text = "Usage: radishroad COMMAND [OPTION...] [ARGUMENT...]\n\n";
  TextTable table({ "command", "" });
  for (const Command& command : allCommands()) {
    const std::string_view summary = command.mSummary;
    table.add({ std::string(command.mName) + " " +
                  std::string(command.mPositionalSyntax),
                std::string(summary.substr(0, summary.find('.') + 1)) });
  }
  return text + table.toText() +
         "\nEach command accepts --help and --json.\n\n" +
         std::string(kExitCodesHelp);
}

std::string
usageOf(const Command& aCommand)
{
  return "Usage: radishroad " + std::string(aCommand.mName) + " [OPTION...] " +
         std::string(aCommand.mPositionalSyntax) + "\n";
}

std::string
describeCommand(const Command& aCommand)
{
  return usageOf(aCommand) + std::string(aCommand.mSummary) + "\n\n" +
         describeOptions(aCommand.mOptions) + "\n" +
         std::string(kExitCodesHelp);
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

/// Returns a message about the first usage error; empty if the arguments are
/// valid.
std::string
findUsageError(const Command& aCommand, const Arguments& aArguments)
{
  const std::size_t n = aArguments.mPositionals.size();
  if (n < aCommand.mMinPositionals || n > aCommand.mMaxPositionals) {
    return "wrong number of arguments\n" + usageOf(aCommand);
  }
  if (aCommand.mNeedsLog && aArguments.mLogAddress.empty()) {
    return "the log address is not set; expected --log-address or "
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
runCommandLine(std::span<const std::string> aArguments,
               const GetEnvFn& aGetEnv,
               const CommandContextFactory& aMakeContext)
{
  const CommandMatch match = findCommand(aArguments);
  const bool wantsHelp =
    std::find(aArguments.begin(), aArguments.end(), "--help") !=
    aArguments.end();
  if (match.mCommand == nullptr && wantsHelp) {
    return { ExitCode::Ok, describeAllCommands(), "" };
  }
  if (match.mCommand == nullptr) {
    return usageError((aArguments.empty()
                         ? "no command given\n"
                         : "unknown command " + aArguments[0] + "\n") +
                      describeAllCommands());
  }
  const Command& command = *match.mCommand;
  const tl::expected<Arguments, Findings> arguments = parseCommandArguments(
    command.mOptions, aArguments.subspan(match.mWordCount), aGetEnv);
  if (!arguments) {
    return usageError(toText(arguments.error()) + usageOf(command));
  }
  if (arguments->mHelp) {
    return { ExitCode::Ok, describeCommand(command), "" };
  }
  const std::string problem = findUsageError(command, *arguments);
  if (!problem.empty()) {
    return usageError(problem);
  }
  const CommandResult result =
    command.mRun(*arguments, aMakeContext(arguments->mLogAddress));
  return toOutput(result, arguments->mJson);
}

}

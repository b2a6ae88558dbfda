#include "radishroad/operator/arguments.h"

#include "radishroad/config/units.h"
#include "radishroad/daemon/settings.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace radishroad {

namespace {

/// An option whose value is stored as text.
struct TextOption
{
  Option mOption;
  std::string Arguments::*mTarget;
  /// Empty if no environment variable sets this option.
  const char* mEnvironmentVariable;
};

constexpr std::array<TextOption, 8> kTextOptions{ {
  { Option::LogAddress, &Arguments::mLogAddress, "RADISHROAD_LOG_ADDRESS" },
  { Option::Daemon, &Arguments::mDaemon, "RADISHROAD_DAEMON" },
  { Option::Operator, &Arguments::mOperator, "RADISHROAD_OPERATOR" },
  { Option::Service, &Arguments::mService, "" },
  { Option::Key, &Arguments::mKey, "" },
  { Option::Vm, &Arguments::mVm, "" },
  { Option::Event, &Arguments::mEvent, "" },
  { Option::Request, &Arguments::mRequestId, "" },
} };

struct OptionDescription
{
  Option mOption;
  const char* mName;
  const char* mHelp;
  /// Name of the value in the help; null for a flag.
  const char* mValueName;
};

constexpr std::array<OptionDescription, 14> kOptionDescriptions{ {
  { Option::Help, "help", "show this help", nullptr },
  { Option::Json, "json", "print JSON", nullptr },
  { Option::LogAddress,
    "log-address",
    "address of the log service (RADISHROAD_LOG_ADDRESS)",
    "IP:PORT" },
  { Option::Daemon,
    "daemon",
    "address of any daemon's operator port (RADISHROAD_DAEMON)",
    "IP:PORT" },
  { Option::Operator,
    "operator",
    "operator name recorded with the change (RADISHROAD_OPERATOR or USER)",
    "NAME" },
  { Option::Timeout, "timeout", "time limit (default 15s)", "DURATION" },
  { Option::Wait,
    "wait",
    "wait until the version is active on all live daemons",
    nullptr },
  { Option::Base,
    "base",
    "version that the change is based on (default: the newest)",
    "VERSION" },
  { Option::Service, "service", "only this service", "NAME" },
  { Option::Key, "key", "only entries for this routing key", "KEY" },
  { Option::Vm, "vm", "only this VM", "NAME" },
  { Option::Event, "event", "only events with this name", "NAME" },
  { Option::Request, "request", "only this request", "ID" },
  { Option::Shards, "shards", "print one line per shard", nullptr },
} };

struct PoptFree
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};
using PoptContext =
  std::unique_ptr<std::remove_pointer_t<poptContext>, PoptFree>;

struct FileClose
{
  void operator()(std::FILE* aFile) const { std::fclose(aFile); }
};

std::vector<poptOption>
makePoptTable(std::span<const Option> aAccepted)
{
  std::vector<poptOption> table;
  for (const OptionDescription& option : kOptionDescriptions) {
    if (std::find(aAccepted.begin(), aAccepted.end(), option.mOption) ==
        aAccepted.end()) {
      continue;
    }
    const unsigned kind =
      option.mValueName == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    // popt reserves 0 for options that poptGetNextOpt does not return.
    const int value = static_cast<int>(option.mOption) + 1;
    table.push_back({ option.mName,
                      '\0',
                      kind,
                      nullptr,
                      value,
                      option.mHelp,
                      option.mValueName });
  }
  table.push_back(POPT_TABLEEND);
  return table;
}

std::optional<std::string>
nonEmpty(const std::string& aText)
{
  return aText.empty() ? std::nullopt : std::optional<std::string>(aText);
}

void
applyEnvironment(const GetEnvFn& aGetEnv, Arguments& aArguments)
{
  aArguments.mOperator = aGetEnv("USER").value_or("operator");
  for (const TextOption& option : kTextOptions) {
    if (std::string_view(option.mEnvironmentVariable).empty()) {
      continue;
    }
    if (const std::optional<std::string> text =
          aGetEnv(option.mEnvironmentVariable)) {
      aArguments.*option.mTarget = *text;
    }
  }
}

void
applyTimeout(const std::string& aText,
             Arguments& aArguments,
             Findings& aFindings)
{
  const std::optional<Millis> time = config::parseDuration(aText);
  if (!time || *time <= Millis{ 0 }) {
    aFindings.push_back({ "--timeout",
                          0,
                          "'" + aText + "' is not accepted",
                          "a duration such as 800ms, 15s or 1min" });
    return;
  }
  aArguments.mTimeout = *time;
}

void
applyBase(const std::string& aText, Arguments& aArguments, Findings& aFindings)
{
  const std::optional<std::int64_t> version = config::parseInteger(aText);
  if (!version || *version < 0) {
    aFindings.push_back(
      { "--base", 0, "'" + aText + "' is not accepted", "a version number" });
    return;
  }
  aArguments.mBase = static_cast<std::uint64_t>(*version);
}

void
applyFlag(Option aOption, Arguments& aArguments)
{
  aArguments.mHelp = aArguments.mHelp || aOption == Option::Help;
  aArguments.mJson = aArguments.mJson || aOption == Option::Json;
  aArguments.mWait = aArguments.mWait || aOption == Option::Wait;
  aArguments.mShards = aArguments.mShards || aOption == Option::Shards;
}

void
applyOption(Option aOption,
            const std::string& aText,
            Arguments& aArguments,
            Findings& aFindings)
{
  if (aOption == Option::Timeout) {
    applyTimeout(aText, aArguments, aFindings);
    return;
  }
  if (aOption == Option::Base) {
    applyBase(aText, aArguments, aFindings);
    return;
  }
  for (const TextOption& option : kTextOptions) {
    if (option.mOption == aOption) {
      aArguments.*option.mTarget = aText;
      return;
    }
  }
  applyFlag(aOption, aArguments);
}

void
validateAddress(const char* aSource,
                const std::string& aText,
                Findings& aFindings)
{
  if (nonEmpty(aText) && !isSocketAddress(aText)) {
    aFindings.push_back({ aSource,
                          0,
                          "'" + aText + "' is not accepted",
                          "IP:PORT, such as 10.0.0.7:8090" });
  }
}

}

tl::expected<Arguments, Findings>
parseCommandArguments(std::span<const Option> aAccepted,
                      std::span<const std::string> aArguments,
                      const GetEnvFn& aGetEnv)
{
  Arguments arguments;
  Findings findings;
  applyEnvironment(aGetEnv, arguments);
  std::vector<const char*> argv{ "radishroad" };
  for (const std::string& argument : aArguments) {
    argv.push_back(argument.c_str());
  }
  const std::vector<poptOption> table = makePoptTable(aAccepted);
  const PoptContext context(poptGetContext(
    "radishroad", static_cast<int>(argv.size()), argv.data(), table.data(), 0));
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> text(
      poptGetOptArg(context.get()), &std::free);
    applyOption(static_cast<Option>(code - 1),
                text ? text.get() : "",
                arguments,
                findings);
  }
  if (code < -1) {
    findings.push_back({ poptBadOption(context.get(), 0),
                         0,
                         poptStrerror(code),
                         "an option that --help lists" });
  }
  while (const char* positional = poptGetArg(context.get())) {
    arguments.mPositionals.emplace_back(positional);
  }
  validateAddress("log address", arguments.mLogAddress, findings);
  validateAddress("daemon", arguments.mDaemon, findings);
  if (!findings.empty()) {
    return tl::unexpected<Findings>(std::move(findings));
  }
  return arguments;
}

std::string
describeOptions(std::span<const Option> aAccepted)
{
  const std::vector<poptOption> table = makePoptTable(aAccepted);
  const char* name = "radishroad";
  const PoptContext context(
    poptGetContext("radishroad", 1, &name, table.data(), 0));
  char* text = nullptr;
  std::size_t size = 0;
  {
    const std::unique_ptr<std::FILE, FileClose> out(
      ::open_memstream(&text, &size));
    poptPrintHelp(context.get(), out.get(), 0);
  }
  const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
  const std::string help(text, size);
  // Drop popt's usage line: it does not contain the command name.
  const std::size_t end = help.find('\n');
  return end == std::string::npos ? help : help.substr(end + 1);
}

}

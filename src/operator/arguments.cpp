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

/// An option with a value that is kept as text.
struct TextOption
{
  Option mOption;
  std::string Arguments::*mTarget;
  /// Empty if there is none.
  const char* mVariable;
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

struct Description
{
  Option mOption;
  const char* mName;
  const char* mHelp;
  /// Name of the value; null for a flag.
  const char* mValue;
};

constexpr std::array<Description, 14> kDescriptions{ {
  { Option::Help, "help", "show this help", nullptr },
  { Option::Json, "json", "write JSON", nullptr },
  { Option::LogAddress,
    "log-address",
    "the platform's log service (RADISHROAD_LOG_ADDRESS)",
    "IP:PORT" },
  { Option::Daemon,
    "daemon",
    "operator port of any daemon (RADISHROAD_DAEMON)",
    "IP:PORT" },
  { Option::Operator,
    "operator",
    "who makes the change (RADISHROAD_OPERATOR, else USER)",
    "NAME" },
  { Option::Timeout, "timeout", "give up after this time (15s)", "DURATION" },
  { Option::Wait,
    "wait",
    "return when all live daemons have it in force",
    nullptr },
  { Option::Base,
    "base",
    "version that the change builds on (the one in force)",
    "VERSION" },
  { Option::Service, "service", "only this service", "NAME" },
  { Option::Key, "key", "only what concerns this routing key", "KEY" },
  { Option::Vm, "vm", "only this VM", "NAME" },
  { Option::Event, "event", "only events of this name", "NAME" },
  { Option::Request, "request", "only this request", "ID" },
  { Option::Shards, "shards", "one line for each shard", nullptr },
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
makeTable(std::span<const Option> aTaken)
{
  std::vector<poptOption> table;
  for (const Description& text : kDescriptions) {
    if (std::find(aTaken.begin(), aTaken.end(), text.mOption) == aTaken.end()) {
      continue;
    }
    const unsigned kind =
      text.mValue == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    // popt takes 0 for "no value returned".
    const int value = static_cast<int>(text.mOption) + 1;
    table.push_back(
      { text.mName, '\0', kind, nullptr, value, text.mHelp, text.mValue });
  }
  table.push_back(POPT_TABLEEND);
  return table;
}

std::optional<std::string>
takeText(const std::string& aText)
{
  return aText.empty() ? std::nullopt : std::optional<std::string>(aText);
}

void
readEnvironment(const GetEnvFn& aGetEnv, Arguments& aArguments)
{
  aArguments.mOperator = aGetEnv("USER").value_or("operator");
  for (const TextOption& option : kTextOptions) {
    if (std::string_view(option.mVariable).empty()) {
      continue;
    }
    if (const std::optional<std::string> text = aGetEnv(option.mVariable)) {
      aArguments.*option.mTarget = *text;
    }
  }
}

void
takeTimeout(const std::string& aText,
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
takeBase(const std::string& aText, Arguments& aArguments, Findings& aFindings)
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
takeFlag(Option aOption, Arguments& aArguments)
{
  aArguments.mHelp = aArguments.mHelp || aOption == Option::Help;
  aArguments.mJson = aArguments.mJson || aOption == Option::Json;
  aArguments.mWait = aArguments.mWait || aOption == Option::Wait;
  aArguments.mShards = aArguments.mShards || aOption == Option::Shards;
}

void
takeOption(Option aOption,
           const std::string& aText,
           Arguments& aArguments,
           Findings& aFindings)
{
  if (aOption == Option::Timeout) {
    takeTimeout(aText, aArguments, aFindings);
    return;
  }
  if (aOption == Option::Base) {
    takeBase(aText, aArguments, aFindings);
    return;
  }
  for (const TextOption& option : kTextOptions) {
    if (option.mOption == aOption) {
      aArguments.*option.mTarget = aText;
      return;
    }
  }
  takeFlag(aOption, aArguments);
}

void
checkAddress(const char* aSource, const std::string& aText, Findings& aFindings)
{
  if (takeText(aText) && !isSocketAddress(aText)) {
    aFindings.push_back({ aSource,
                          0,
                          "'" + aText + "' is not accepted",
                          "IP:PORT, such as 10.0.0.7:8090" });
  }
}

}

tl::expected<Arguments, Findings>
readArguments(std::span<const Option> aTaken,
              std::span<const std::string> aWords,
              const GetEnvFn& aGetEnv)
{
  Arguments arguments;
  Findings findings;
  readEnvironment(aGetEnv, arguments);
  std::vector<const char*> words{ "radishroad" };
  for (const std::string& word : aWords) {
    words.push_back(word.c_str());
  }
  const std::vector<poptOption> table = makeTable(aTaken);
  const PoptContext context(poptGetContext("radishroad",
                                           static_cast<int>(words.size()),
                                           words.data(),
                                           table.data(),
                                           0));
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> text(
      poptGetOptArg(context.get()), &std::free);
    takeOption(static_cast<Option>(code - 1),
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
  while (const char* word = poptGetArg(context.get())) {
    arguments.mWords.emplace_back(word);
  }
  checkAddress("log address", arguments.mLogAddress, findings);
  checkAddress("daemon", arguments.mDaemon, findings);
  if (!findings.empty()) {
    return tl::unexpected<Findings>(std::move(findings));
  }
  return arguments;
}

std::string
describeOptions(std::span<const Option> aTaken)
{
  const std::vector<poptOption> table = makeTable(aTaken);
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
  // popt's own line of usage does not know the command.
  const std::size_t end = help.find('\n');
  return end == std::string::npos ? help : help.substr(end + 1);
}

}

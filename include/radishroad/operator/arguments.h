#ifndef RADISHROAD_OPERATOR_ARGUMENTS_H
#define RADISHROAD_OPERATOR_ARGUMENTS_H

#include "radishroad/base/finding.h"
#include "radishroad/base/millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace radishroad {

/// Options of the operator commands. Each command accepts a subset of them.
enum class Option
{
  Help,
  Json,
  LogAddress,
  Daemon,
  Operator,
  Timeout,
  Wait,
  Base,
  Service,
  Key,
  Vm,
  Event,
  Request,
  Shards,
};

/// The parsed options and positional arguments that follow the command name.
struct Arguments
{
  bool mHelp = false;
  bool mJson = false;
  bool mWait = false;
  bool mShards = false;
  /// Address of the log service as "ip:port"; empty if not given.
  std::string mLogAddress;
  /// Address of any daemon's operator port as "ip:port"; empty if not given.
  std::string mDaemon;
  std::string mOperator;
  std::string mService;
  std::string mKey;
  std::string mVm;
  std::string mEvent;
  std::string mRequestId;
  Millis mTimeout{ 15000 };
  std::optional<std::uint64_t> mBase;
  std::vector<std::string> mPositionals;
};

/// Returns the value of an environment variable, or nullopt if it is not set.
using GetEnvFn =
  std::function<std::optional<std::string>(const std::string& aName)>;

/// Parses the options that a command accepts: first from the environment, then
/// from the command-line arguments, which take precedence. Reports all errors
/// together.
tl::expected<Arguments, Findings>
parseCommandArguments(std::span<const Option> aAccepted,
                      std::span<const std::string> aArguments,
                      const GetEnvFn& aGetEnv);

/// Returns the options section of a command's help, formatted by popt.
std::string
describeOptions(std::span<const Option> aAccepted);

}

#endif

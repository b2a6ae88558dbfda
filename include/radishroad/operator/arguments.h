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

/// Options of the operators' commands; each command takes some of them.
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

/// A command line after its command: options and other words.
struct Arguments
{
  bool mHelp = false;
  bool mJson = false;
  bool mWait = false;
  bool mShards = false;
  /// "ip:port" of the log service; empty if not given.
  std::string mLogAddress;
  /// "ip:port" of some daemon's operator port; empty if not given.
  std::string mDaemon;
  std::string mOperator;
  std::string mService;
  std::string mKey;
  std::string mVm;
  std::string mEvent;
  std::string mRequestId;
  Millis mTimeout{ 15000 };
  std::optional<std::uint64_t> mBase;
  std::vector<std::string> mWords;
};

/// Reads an environment variable; nothing if it is not set.
using GetEnvFn =
  std::function<std::optional<std::string>(const std::string& aName)>;

/// Reads the options that a command takes, from the environment and then from
/// the words after the command. All mistakes are found together.
tl::expected<Arguments, Findings>
readArguments(std::span<const Option> aTaken,
              std::span<const std::string> aWords,
              const GetEnvFn& aGetEnv);

/// The options' part of a command's help, by popt.
std::string
describeOptions(std::span<const Option> aTaken);

}

#endif

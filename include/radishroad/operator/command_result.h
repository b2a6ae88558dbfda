#ifndef RADISHROAD_OPERATOR_COMMAND_RESULT_H
#define RADISHROAD_OPERATOR_COMMAND_RESULT_H

#include "radishroad/base/error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace radishroad {

/// Exit codes of the operator command line.
enum class ExitCode
{
  Ok = 0,
  /// The command ran with a negative result: findings, a lost publish race, a
  /// refused change, a difference, an unreadable event source, or daemons that
  /// are not ready or do not have the version.
  Negative = 1,
  /// The command line is invalid.
  Usage = 2,
  /// The log or a required daemon does not respond, or the outcome of a change
  /// is unknown.
  Unavailable = 3,
};

/// The output of a command, both as human-readable text and as JSON.
struct CommandResult
{
  ExitCode mCode = ExitCode::Ok;
  std::string mText;
  nlohmann::ordered_json mJson;
  /// Written to standard error; empty on success.
  std::string mError;
};

/// Returns the result of a failed command.
CommandResult
makeFailure(ExitCode aCode, std::string aMessage);

/// As above; derives the exit code from the error code.
CommandResult
makeFailure(const Error& aError);

}

#endif

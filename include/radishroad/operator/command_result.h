#ifndef RADISHROAD_OPERATOR_COMMAND_RESULT_H
#define RADISHROAD_OPERATOR_COMMAND_RESULT_H

#include "radishroad/base/error.h"

#include <nlohmann/json.hpp>
#include <string>

namespace radishroad {

/// Exit codes of the operators' command line.
enum class ExitCode
{
  Ok = 0,
  /// Findings, a lost race, or something that is not in force.
  Negative = 1,
  /// The command line itself is wrong.
  Usage = 2,
  /// The log or a daemon that is needed does not answer, or what became of a
  /// change is unknown.
  Unavailable = 3,
};

/// What a command has to say: text for a person, or JSON.
struct CommandResult
{
  ExitCode mCode = ExitCode::Ok;
  std::string mText;
  nlohmann::ordered_json mJson;
  /// For standard error; empty if all went well.
  std::string mError;
};

/// The result of a command that could not do its work.
CommandResult
makeFailure(ExitCode aCode, std::string aMessage);

/// As above, with the exit code that fits the error.
CommandResult
makeFailure(const Error& aError);

}

#endif

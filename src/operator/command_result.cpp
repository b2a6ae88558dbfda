#include "radishroad/operator/command_result.h"

namespace radishroad {

CommandResult
makeFailure(ExitCode aCode, std::string aMessage)
{
  CommandResult result;
  result.mCode = aCode;
  result.mJson = { { "error", aMessage } };
  result.mError = std::move(aMessage);
  return result;
}

CommandResult
makeFailure(const Error& aError)
{
  switch (aError.mCode) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::Conflict:
    case ErrorCode::TooLarge:
      return makeFailure(ExitCode::Negative, aError.mMessage);
    default:
      return makeFailure(ExitCode::Unavailable, aError.mMessage);
  }
}

}

#ifndef RADISHROAD_BASE_ERROR_H
#define RADISHROAD_BASE_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace radishroad {

enum class ErrorCode
{
  InvalidArgument,
  NotFound,
  Conflict,
  Unavailable,
  /// The operation may or may not have taken effect.
  Unknown,
  Timeout,
  Corrupt,
  Full,
  TooLarge,
  /// The log no longer retains the requested offset.
  Expired,
};

/// A failed operation: the class of failure and a human-readable message.
struct Error
{
  ErrorCode mCode = ErrorCode::Unknown;
  std::string mMessage;
};

template<typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error>
fail(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

}

#endif

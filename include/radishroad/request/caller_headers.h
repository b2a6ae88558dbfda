#ifndef RADISHROAD_REQUEST_CALLER_HEADERS_H
#define RADISHROAD_REQUEST_CALLER_HEADERS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishroad {

/// Values taken from the headers of a caller's request, independent of the
/// header names that the caller's protocol uses.
struct CallerHeaders
{
  /// The request id chosen by the caller; empty if it sent none.
  std::string mRequestId;
  std::string mHost;
  /// The caller's API key as sent; nullopt if it sent none.
  std::optional<std::string> mCallerKey;
  /// How long the caller waits for the answer.
  std::optional<Millis> mTimeLeft;
  /// Number of the routing key that the request is for.
  std::optional<std::uint32_t> mKeyNumber;
};

}

#endif

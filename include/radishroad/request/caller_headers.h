#ifndef RADISHROAD_REQUEST_CALLER_HEADERS_H
#define RADISHROAD_REQUEST_CALLER_HEADERS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishroad {

/// What the head of a caller's request says beyond method and target, read
/// from whatever names its headers have.
struct CallerHeaders
{
  /// The caller's own id of this request; empty if it gave none.
  std::string mRequestId;
  std::string mHost;
  /// The caller's key as it sent it; nothing if it sent none.
  std::optional<std::string> mKey;
  /// How long the caller waits for the answer.
  std::optional<Millis> mTimeLeft;
  /// Number of the key that the request is for.
  std::optional<std::uint32_t> mKeyNumber;
};

}

#endif

#ifndef RADISHROAD_CALLER_REFUSAL_H
#define RADISHROAD_CALLER_REFUSAL_H

#include "radishroad/base/millis.h"

#include <string>

namespace radishroad {

/// Why the server refuses a request before it reaches the handler. The
/// connection is closed after the refusal.
struct Refusal
{
  /// HTTP status code.
  unsigned mStatus = 400;
  /// Machine-readable reason, such as "malformed" or "body-too-large".
  std::string mReason;
  /// Human-readable description.
  std::string mMessage;
  /// When the caller should repeat the request; 0 if it should not.
  Millis mRetryAfter = {};
};

}

#endif

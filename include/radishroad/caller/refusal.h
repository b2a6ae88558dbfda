#ifndef RADISHROAD_CALLER_REFUSAL_H
#define RADISHROAD_CALLER_REFUSAL_H

#include <string>

namespace radishroad {

/// Why the server itself turns a request away before anything runs. The
/// connection ends after it.
struct Refusal
{
  /// HTTP status.
  unsigned mStatus = 400;
  /// Machine-readable: "malformed", "body-too-large".
  std::string mReason;
  /// For a person.
  std::string mMessage;
};

}

#endif

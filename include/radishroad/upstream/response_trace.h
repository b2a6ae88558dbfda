#ifndef RADISHROAD_UPSTREAM_RESPONSE_TRACE_H
#define RADISHROAD_UPSTREAM_RESPONSE_TRACE_H

#include "radishroad/http/response_head.h"

#include <cstddef>
#include <string_view>

namespace radishroad {

/// How an exchange's response was received, for logs and metrics.
struct ResponseTrace
{
  enum class End
  {
    /// No request was sent, or the exchange was aborted.
    None,
    Whole,
    /// The connection ended, in order, before the response, in its head or in
    /// its body.
    BeforeHead,
    InHead,
    InBody,
    /// The connection was reset, or failed in another way.
    Failed,
    TimedOut,
    Malformed,
    /// The response repeats the id of another request.
    OtherRequest,
    TooLarge,
    /// The memory for bodies had no room for the rest.
    NoMemory,
    /// The body ends with the connection where that is not accepted.
    Unframed,
  };

  End mEnd = End::None;
  ResponseHead::Framing mFraming = ResponseHead::Framing::Unknown;
  std::size_t mBodyBytes = 0;
  /// The connection had been used for an earlier request.
  bool mConnectionReused = false;
  /// What is malformed, if mEnd is Malformed.
  std::string_view mError;
};

/// Name for logs, such as "in-head".
std::string_view
responseEndName(ResponseTrace::End aEnd);

}

#endif

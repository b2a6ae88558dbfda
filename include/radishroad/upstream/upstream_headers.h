#ifndef RADISHROAD_UPSTREAM_UPSTREAM_HEADERS_H
#define RADISHROAD_UPSTREAM_UPSTREAM_HEADERS_H

#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/exchange.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// False if the method, target, workspace or a header is invalid, so that
/// writing it could inject header lines.
bool
isWellFormed(const ForwardRequest& aRequest);

/// Header lines for the upstream: the caller's without its API key and without
/// hop-by-hop headers, and the daemon's X-Radishroad headers
/// (docs/upstream-protocol.md).
std::vector<std::string>
upstreamHeaderLines(const ForwardRequest& aRequest,
                    Epoch aEpoch,
                    Millis aTimeLeft);

/// The caller's header lines that are forwarded to an upstream: without its API
/// key, hop-by-hop headers, and those named in aExcludedHeaders.
std::vector<std::string>
forwardedHeaderLines(const ForwardRequest& aRequest,
                     std::span<const std::string_view> aExcludedHeaders);

/// A header line in libcurl's notation.
std::string
headerLine(std::string_view aName, std::string_view aValue);

/// Converts an upstream's complete response to the answer for the caller.
Answer
makeAnswered(const ForwardRequest& aRequest, UpstreamResponse aResponse);

/// The reason, if the response proves that the upstream did not run the
/// request; None otherwise.
NotRunReason
provenNotRun(const UpstreamResponse& aResponse);

}

#endif

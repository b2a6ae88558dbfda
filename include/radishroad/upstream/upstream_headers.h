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

/// False if the request cannot be written to an upstream as it stands: a
/// method, target or header that would add lines of its own.
bool
isWellFormed(const ForwardRequest& aRequest);

/// Header lines for the upstream: the caller's without its key and without
/// those of one connection, and the daemon's own (docs/upstream-protocol.md).
std::vector<std::string>
upstreamHeaderLines(const ForwardRequest& aRequest,
                    Epoch aEpoch,
                    Millis aTimeLeft);

/// The caller's own header lines that go on to an upstream: without its key,
/// those of one connection, and those named in aWithheld.
std::vector<std::string>
forwardedHeaderLines(const ForwardRequest& aRequest,
                     std::span<const std::string_view> aWithheld);

/// A line in libcurl's notation.
std::string
headerLine(std::string_view aName, std::string_view aValue);

/// The answer to the caller made of an upstream's whole response.
Answer
makeAnswered(const ForwardRequest& aRequest, UpstreamResponse aResponse);

/// The reason if the upstream itself proves that it did not run the request,
/// None otherwise.
NotRunReason
provenNotRun(const UpstreamResponse& aResponse);

}

#endif

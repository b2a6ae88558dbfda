#ifndef RADISHROAD_CALLER_HEAD_CHECK_H
#define RADISHROAD_CALLER_HEAD_CHECK_H

#include "radishroad/caller/refusal.h"

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

namespace radishroad {

using RequestHead = boost::beast::http::request_header<>;

inline std::string_view
toStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Whether bytes that the parser has not consumed yet can be part of a request
/// head. Without this check, the parser would wait forever for a CRLF in input
/// that is not HTTP or whose lines end in a bare line feed. aHasStartLine: the
/// parser has consumed the request line.
bool
couldBeRequestHead(std::string_view aBytes, bool aHasStartLine);

/// Checks for what Boost.Beast accepts but a router must refuse. Returns
/// nothing if the head may be forwarded.
std::optional<Refusal>
checkHead(const RequestHead& aHead);

}

#endif

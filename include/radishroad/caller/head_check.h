#ifndef RADISHROAD_CALLER_HEAD_CHECK_H
#define RADISHROAD_CALLER_HEAD_CHECK_H

#include "radishroad/caller/refusal.h"

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

namespace radishroad {

using RequestHead = boost::beast::http::request_header<>;

inline std::string_view
view(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Whether bytes that the parser has not taken yet may become a request.
/// Without it, bytes that are no HTTP, or lines with a bare line feed, would
/// wait for an end of line that never comes. aHasStartLine: the parser has
/// taken the request line.
bool
mayBeHead(std::string_view aBytes, bool aHasStartLine);

/// What Boost.Beast lets pass and a router must not; nothing if the head is
/// fit to be sent on.
std::optional<Refusal>
checkHead(const RequestHead& aHead);

}

#endif

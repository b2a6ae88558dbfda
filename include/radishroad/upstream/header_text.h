#ifndef RADISHROAD_UPSTREAM_HEADER_TEXT_H
#define RADISHROAD_UPSTREAM_HEADER_TEXT_H

#include <string_view>

namespace radishroad {

/// Compares header names, ignoring the case of ASCII letters.
bool
sameHeaderName(std::string_view aLeft, std::string_view aRight);

bool
startsWithIgnoreCase(std::string_view aText, std::string_view aPrefix);

/// Without leading and trailing blanks and line ends.
std::string_view
trimWhitespace(std::string_view aText);

/// Is the name in a comma-separated list, such as the value of `Connection`?
bool
listContains(std::string_view aList, std::string_view aName);

/// A header of one connection only, which is not passed on (RFC 9110, 7.6.1).
bool
isHopByHop(std::string_view aName);

/// Text without control characters, so that it cannot add lines of its own.
bool
hasNoControlCharacters(std::string_view aText);

/// A request target that can be written to a request line as it is.
bool
isValidTarget(std::string_view aTarget);

/// A method or header name (the `token` of RFC 9110).
bool
isToken(std::string_view aText);

}

#endif

#ifndef RADISHROAD_HTTP_HEADER_TEXT_H
#define RADISHROAD_HTTP_HEADER_TEXT_H

#include <string_view>

namespace radishroad {

/// Compares header names, ignoring the case of ASCII letters.
bool
sameHeaderName(std::string_view aLeft, std::string_view aRight);

bool
startsWithIgnoreCase(std::string_view aText, std::string_view aPrefix);

/// Strips leading and trailing spaces, tabs and line ends.
std::string_view
trimWhitespace(std::string_view aText);

/// Whether a comma-separated list, such as the value of `Connection`, contains
/// the name, ignoring case.
bool
listContains(std::string_view aList, std::string_view aName);

/// Whether the header applies to one connection only and is not forwarded
/// (RFC 9110, 7.6.1).
bool
isHopByHop(std::string_view aName);

/// Guards against header injection: text without control characters (other than
/// tabs) cannot add header lines.
bool
hasNoControlCharacters(std::string_view aText);

/// Whether the request target can be written unchanged to a request line.
bool
isValidTarget(std::string_view aTarget);

/// Whether the text is a `token` of RFC 9110, as methods and header names are.
bool
isToken(std::string_view aText);

}

#endif

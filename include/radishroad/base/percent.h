#ifndef RADISHROAD_BASE_PERCENT_H
#define RADISHROAD_BASE_PERCENT_H

#include <optional>
#include <string>
#include <string_view>

namespace radishroad {

/// Decodes %XX escapes (RFC 3986, section 2.1). Returns nullopt if an escape is
/// malformed.
std::optional<std::string>
percentDecode(std::string_view aText);

}

#endif

#ifndef RADISHROAD_CONFIG_TEXT_CHECK_H
#define RADISHROAD_CONFIG_TEXT_CHECK_H

#include <string_view>

namespace radishroad::config {

/// Returns the line, counted from 1, of the first byte that is NUL or not valid
/// UTF-8; 0 if there is none.
int
firstNonTextLine(std::string_view aBytes);

}

#endif

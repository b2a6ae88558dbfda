#ifndef RADISHROAD_CONFIG_TEXT_CHECK_H
#define RADISHROAD_CONFIG_TEXT_CHECK_H

#include <string_view>

namespace radishroad::config {

/// Line, from 1, of the first byte that is NUL or not valid UTF-8; 0 if the
/// bytes are text.
int
firstLineNotText(std::string_view aBytes);

}

#endif

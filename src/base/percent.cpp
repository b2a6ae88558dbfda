#include "radishroad/base/percent.h"

#include <charconv>

namespace radishroad {

namespace {

constexpr std::size_t kEscapeLength = 3;
constexpr int kHexBase = 16;

std::optional<char>
decodeEscape(std::string_view aEscape)
{
  if (aEscape.size() != kEscapeLength) {
    return std::nullopt;
  }
  unsigned char value = 0;
  const char* end = aEscape.data() + aEscape.size();
  const std::from_chars_result result =
    std::from_chars(aEscape.data() + 1, end, value, kHexBase);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

}

std::optional<std::string>
percentDecode(std::string_view aText)
{
  std::string decoded;
  while (!aText.empty()) {
    if (aText.front() != '%') {
      decoded += aText.front();
      aText.remove_prefix(1);
      continue;
    }
    const std::optional<char> byte =
      decodeEscape(aText.substr(0, kEscapeLength));
    if (!byte) {
      return std::nullopt;
    }
    decoded += *byte;
    aText.remove_prefix(kEscapeLength);
  }
  return decoded;
}

}

#include "radishroad/http/header_text.h"

#include <algorithm>
#include <array>

namespace radishroad {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
  "connection", "keep-alive", "proxy-authenticate",
  "te",         "trailer",    "proxy-authorization",
  "upgrade",    "expect",     "transfer-encoding",
};

char
toLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar + 32) : aChar;
}

bool
isAlphanumeric(char aChar)
{
  const char c = toLower(aChar);
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

}

bool
sameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, toLower, toLower);
}

bool
startsWithIgnoreCase(std::string_view aText, std::string_view aPrefix)
{
  return sameHeaderName(aText.substr(0, aPrefix.size()), aPrefix);
}

std::string_view
trimWhitespace(std::string_view aText)
{
  constexpr std::string_view kWhitespace = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

bool
listContains(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const std::size_t comma = aList.find(',');
    if (sameHeaderName(trimWhitespace(aList.substr(0, comma)), aName)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

bool
isHopByHop(std::string_view aName)
{
  return std::ranges::any_of(kHopByHop, [aName](std::string_view aKnown) {
    return sameHeaderName(aName, aKnown);
  });
}

bool
hasNoControlCharacters(std::string_view aText)
{
  return std::ranges::none_of(aText, [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return (byte < 0x20 && aChar != '\t') || byte == 0x7F;
  });
}

bool
isValidTarget(std::string_view aTarget)
{
  return aTarget.starts_with('/') &&
         std::ranges::none_of(aTarget, [](char aChar) {
           const auto byte = static_cast<unsigned char>(aChar);
           return byte <= 0x20 || byte == 0x7F;
         });
}

bool
isToken(std::string_view aText)
{
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::ranges::all_of(aText, [&](char aChar) {
    return isAlphanumeric(aChar) ||
           kTokenPunctuation.find(aChar) != kTokenPunctuation.npos;
  });
}

}

#include "radishroad/caller/header_filter.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace radishroad {

namespace {

constexpr std::array<std::string_view, 12> kHopByHop{ "Connection",
                                                      "Keep-Alive",
                                                      "Proxy-Connection",
                                                      "Proxy-Authenticate",
                                                      "Proxy-Authorization",
                                                      "TE",
                                                      "Trailer",
                                                      "Transfer-Encoding",
                                                      "Upgrade",
                                                      "Content-Length",
                                                      "Expect",
                                                      "HTTP2-Settings" };

constexpr std::string_view kRouterPrefix = "X-Radishroad-";

/// Some servers treat "_" in a field name as "-".
char
normalizedNameByte(char aByte)
{
  return aByte == '_'
           ? '-'
           : static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
}

bool
equalNameBytes(char aFirst, char aSecond)
{
  return normalizedNameByte(aFirst) == normalizedNameByte(aSecond);
}

bool
isRouterField(std::string_view aName)
{
  return aName.size() >= kRouterPrefix.size() &&
         std::equal(kRouterPrefix.begin(),
                    kRouterPrefix.end(),
                    aName.begin(),
                    equalNameBytes);
}

std::string_view
trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

}

bool
equalsIgnoringCase(std::string_view aFirst, std::string_view aSecond)
{
  return std::equal(aFirst.begin(),
                    aFirst.end(),
                    aSecond.begin(),
                    aSecond.end(),
                    [](char aLeft, char aRight) {
                      return std::tolower(static_cast<unsigned char>(aLeft)) ==
                             std::tolower(static_cast<unsigned char>(aRight));
                    });
}

void
HeaderFilter::addConnectionField(std::string_view aValue)
{
  while (!aValue.empty()) {
    const std::size_t comma = aValue.find(',');
    const std::string_view name = trim(aValue.substr(0, comma));
    if (!name.empty()) {
      mConnectionOptions.emplace_back(name);
    }
    aValue.remove_prefix(comma == std::string_view::npos ? aValue.size()
                                                         : comma + 1);
  }
}

bool
HeaderFilter::passes(std::string_view aName) const
{
  const auto same = [aName](std::string_view aOther) {
    return equalsIgnoringCase(aName, aOther);
  };
  return !isRouterField(aName) &&
         std::none_of(kHopByHop.begin(), kHopByHop.end(), same) &&
         std::none_of(
           mConnectionOptions.begin(), mConnectionOptions.end(), same);
}

}

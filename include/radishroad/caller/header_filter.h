#ifndef RADISHROAD_CALLER_HEADER_FILTER_H
#define RADISHROAD_CALLER_HEADER_FILTER_H

#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Chooses the header fields that pass between caller and upstream, in either
/// direction: hop-by-hop fields (RFC 9110, 7.6.1), framing fields and the
/// router's own X-Radishroad-* do not.
class HeaderFilter
{
public:
  /// Takes the value of a Connection field; the fields it names are
  /// hop-by-hop too.
  void addConnection(std::string_view aValue);

  bool passes(std::string_view aName) const;

private:
  std::vector<std::string> mNamed;
};

/// Case-insensitive comparison of ASCII text.
bool
equalsIgnoringCase(std::string_view aFirst, std::string_view aSecond);

}

#endif

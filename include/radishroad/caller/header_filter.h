#ifndef RADISHROAD_CALLER_HEADER_FILTER_H
#define RADISHROAD_CALLER_HEADER_FILTER_H

#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

/// Selects the header fields that are forwarded between caller and upstream, in
/// either direction. Hop-by-hop fields (RFC 9110, 7.6.1), framing fields and
/// the router's own X-Radishroad-* fields are not forwarded.
class HeaderFilter
{
public:
  /// Adds the value of a Connection field: the fields that it lists are
  /// hop-by-hop as well.
  void addConnectionField(std::string_view aValue);

  bool passes(std::string_view aName) const;

private:
  std::vector<std::string> mConnectionOptions;
};

/// Compares ASCII text without regard to case.
bool
equalsIgnoringCase(std::string_view aFirst, std::string_view aSecond);

}

#endif

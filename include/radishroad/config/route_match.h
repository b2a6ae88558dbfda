#ifndef RADISHROAD_CONFIG_ROUTE_MATCH_H
#define RADISHROAD_CONFIG_ROUTE_MATCH_H

#include "radishroad/config/model.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace radishroad::config {

/// The route of a request, and the key that the request contains.
struct RouteMatch
{
  const Route* mRoute = nullptr;
  std::string mKey;
};

/// Returns the value of a request header. The name is as written in the
/// configuration.
using HeaderLookupFn =
  std::function<std::optional<std::string_view>(std::string_view)>;

/// Finds the route of a request: among the matching routes, the one with the
/// most fixed segments. HEAD falls back to routes for GET. The returned key is
/// decoded. A route does not match if its key is missing, empty or ambiguous.
/// Returns nothing if no route matches.
std::optional<RouteMatch>
matchRoute(const Model& aModel,
           std::string_view aMethod,
           std::string_view aTarget,
           const HeaderLookupFn& aLookUpHeader);

}

#endif

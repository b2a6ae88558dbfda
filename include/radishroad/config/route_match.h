#ifndef RADISHROAD_CONFIG_ROUTE_MATCH_H
#define RADISHROAD_CONFIG_ROUTE_MATCH_H

#include "radishroad/config/model.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace radishroad::config {

/// A request's route and the key that it names.
struct RouteMatch
{
  const Route* mRoute = nullptr;
  std::string mKey;
};

/// Reads a header of the request by its lower-case name.
using HeaderFn =
  std::function<std::optional<std::string_view>(std::string_view)>;

/// Finds the route of a request: the one with most fixed segments among those
/// that match; HEAD falls back to a route for GET. The key is decoded. Nothing
/// if none matches or its key is missing, empty or ambiguous.
std::optional<RouteMatch>
matchRoute(const Model& aModel,
           std::string_view aMethod,
           std::string_view aTarget,
           const HeaderFn& aHeader);

}

#endif

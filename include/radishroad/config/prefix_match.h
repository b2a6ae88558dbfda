#ifndef RADISHROAD_CONFIG_PREFIX_MATCH_H
#define RADISHROAD_CONFIG_PREFIX_MATCH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishroad::config {

struct Model;
struct Route;

/// Finds the prefix route for a host and a request target: the one with the
/// longest prefix of the path. Null if none matches. Hosts are compared without
/// regard to case, and a port is ignored.
const Route*
matchPrefix(const Model& aModel,
            std::string_view aHost,
            std::string_view aTarget);

/// Selects the service for a request by the weights of the route's targets.
/// aRandomValue is drawn once per request; equal values select the same
/// service.
const std::string&
pickService(const Route& aRoute, std::uint64_t aRandomValue);

}

#endif

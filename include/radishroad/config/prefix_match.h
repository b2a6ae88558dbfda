#ifndef RADISHROAD_CONFIG_PREFIX_MATCH_H
#define RADISHROAD_CONFIG_PREFIX_MATCH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace radishroad::config {

struct Model;
struct Route;

/// The route by prefix for a host and a path: of those whose prefix begins the
/// path, the one with the longest prefix. Null if there is none. Hosts are
/// compared without regard to case, and a port is passed over.
const Route*
matchPrefix(const Model& aModel,
            std::string_view aHost,
            std::string_view aTarget);

/// The service for one request of a route, by the weights of its targets.
/// aPick is a number drawn for the request; equal draws give equal services.
const std::string&
pickService(const Route& aRoute, std::uint64_t aPick);

}

#endif

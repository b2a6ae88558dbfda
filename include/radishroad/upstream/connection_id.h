#ifndef RADISHROAD_UPSTREAM_CONNECTION_ID_H
#define RADISHROAD_UPSTREAM_CONNECTION_ID_H

#include <cstdint>

namespace radishroad {

/// Identifies a connection to the upstream; never reused. 0 for none.
using ConnectionId = std::uint64_t;

}

#endif

#ifndef RADISHROAD_POLICY_FINGERPRINT_H
#define RADISHROAD_POLICY_FINGERPRINT_H

#include "radishroad/request/request.h"

#include <cstdint>

namespace radishroad {

/// Hash of workspace, method, path and body: the same for each copy of a
/// request that a caller sends, whatever its id.
std::uint64_t
fingerprintOf(const ForwardRequest& aRequest);

}

#endif

#ifndef RADISHROAD_POLICY_FINGERPRINT_H
#define RADISHROAD_POLICY_FINGERPRINT_H

#include "radishroad/request/request.h"

#include <cstdint>

namespace radishroad {

/// Returns a hash of workspace, method, path and body, which is the same for
/// all copies of a request that a caller sends, whatever their ids.
std::uint64_t
fingerprintOf(const ForwardRequest& aRequest);

}

#endif

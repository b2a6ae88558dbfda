#ifndef RADISHROAD_OPERATOR_HTTP_FETCH_H
#define RADISHROAD_OPERATOR_HTTP_FETCH_H

#include "radishroad/base/error.h"

#include <string>

namespace radishroad {

/// Sends GET http://aAddress/aPath with libcurl and returns the body of a 200
/// response. Returns ErrorCode::Unavailable for any other status, for a body
/// larger than 64 MiB and if the request fails. Thread-safe.
Result<std::string>
httpFetch(const std::string& aAddress, const std::string& aPath);

}

#endif

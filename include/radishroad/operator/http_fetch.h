#ifndef RADISHROAD_OPERATOR_HTTP_FETCH_H
#define RADISHROAD_OPERATOR_HTTP_FETCH_H

#include "radishroad/base/error.h"

#include <string>

namespace radishroad {

/// GET http://aAddress/aPath by libcurl; the body of a 200 answer, at most
/// 64 MiB. ErrorCode::Unavailable for any other. Any thread.
Result<std::string>
httpFetch(const std::string& aAddress, const std::string& aPath);

}

#endif

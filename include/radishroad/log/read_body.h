#ifndef RADISHROAD_LOG_READ_BODY_H
#define RADISHROAD_LOG_READ_BODY_H

#include "radishroad/base/error.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace radishroad {

/// Splits the response body of a read (docs/log-service.md) into records. Fails
/// with ErrorCode::Corrupt unless they start at aFrom and have no gaps.
Result<std::vector<LogRecord>>
parseReadBody(std::string_view aBody, std::uint64_t aFrom);

}

#endif

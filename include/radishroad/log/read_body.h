#ifndef RADISHROAD_LOG_READ_BODY_H
#define RADISHROAD_LOG_READ_BODY_H

#include "radishroad/base/error.h"
#include "radishroad/state/records.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace radishroad {

/// Splits the body of a read (docs/log-service.md) into records. They must
/// start at aFrom and be without gaps, else ErrorCode::Corrupt.
Result<std::vector<LogRecord>>
parseReadBody(std::string_view aBody, std::uint64_t aFrom);

}

#endif

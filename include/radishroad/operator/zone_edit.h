#ifndef RADISHROAD_OPERATOR_ZONE_EDIT_H
#define RADISHROAD_OPERATOR_ZONE_EDIT_H

#include "radishroad/base/error.h"
#include "radishroad/state/config_state.h"

#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// Returns a copy of the files in which only the in_service value of one
/// availability zone is changed, so that comments and layout are preserved. The
/// zone must set in_service explicitly. Returns ErrorCode::NotFound if no file
/// contains the zone, and ErrorCode::InvalidArgument if the value cannot be
/// replaced in place.
Result<std::vector<ConfigText>>
withZoneInService(std::span<const ConfigText> aFiles,
                  const std::string& aZone,
                  bool aInService);

}

#endif

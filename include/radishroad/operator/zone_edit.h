#ifndef RADISHROAD_OPERATOR_ZONE_EDIT_H
#define RADISHROAD_OPERATOR_ZONE_EDIT_H

#include "radishroad/base/error.h"
#include "radishroad/state/config_state.h"

#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// The files with in_service of one availability zone changed in place and
/// nothing else. The zone must state in_service; ErrorCode::NotFound if no
/// file has the zone, ErrorCode::InvalidArgument if the change cannot be made
/// without touching more.
Result<std::vector<ConfigText>>
withZoneInService(std::span<const ConfigText> aFiles,
                  const std::string& aZone,
                  bool aInService);

}

#endif

#ifndef RADISHROAD_OPERATOR_MODEL_JSON_H
#define RADISHROAD_OPERATOR_MODEL_JSON_H

#include "radishroad/config/model.h"

#include <nlohmann/json.hpp>

namespace radishroad {

/// Returns a validated configuration as JSON, keyed by section and name.
nlohmann::json
toJson(const config::Model& aModel);

}

#endif

#ifndef RADISHROAD_CONFIG_ROUTE_FIELDS_H
#define RADISHROAD_CONFIG_ROUTE_FIELDS_H

#include "radishroad/config/model.h"

#include <string>

namespace radishroad::config {

class Fields;

/// Reads one entry of the routes section.
Route
readRoute(const std::string& aName, Fields& aFields);

}

#endif

#ifndef RADISHROAD_CONFIG_ROUTE_READER_H
#define RADISHROAD_CONFIG_ROUTE_READER_H

#include "radishroad/config/model.h"

#include <string>

namespace radishroad::config {

class FieldReader;

/// Reads one entry of the routes section.
Route
readRoute(const std::string& aName, FieldReader& aFields);

}

#endif

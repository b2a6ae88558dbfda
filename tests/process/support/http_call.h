#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_HTTP_CALL_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_HTTP_CALL_H

#include "common/load_engine.h"

#include <nlohmann/json.hpp>
#include <string>

namespace radishroad::test {

using tools::LoadRequest;
using tools::LoadResult;

/// Sends one request and waits for its result.
LoadResult
call(LoadRequest aRequest);

LoadResult
get(const std::string& aUrl, Millis aTimeout = Millis{ 2000 });

LoadResult
post(const std::string& aUrl, const std::string& aBody);

/// Returns the response body as JSON; null if it is not valid JSON.
nlohmann::json
getJson(const std::string& aUrl);

}

#endif

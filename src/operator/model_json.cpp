#include "radishroad/operator/model_json.h"

namespace radishroad {

namespace {

std::string
describeKeySource(const config::Route& aRoute)
{
  switch (aRoute.mKeySource) {
    case config::KeySource::Query:
      return "query " + aRoute.mKeyName;
    case config::KeySource::Header:
      return "header " + aRoute.mKeyName;
    case config::KeySource::Path:
      return "path";
  }
  return "path";
}

nlohmann::json
toJson(const config::Workspace& aWorkspace)
{
  return { { "rate_per_second", aWorkspace.mRatePerSecond },
           { "burst", aWorkspace.mBurst },
           { "keys", aWorkspace.mKeyHashes } };
}

nlohmann::json
toJson(const config::Service& aService)
{
  return { { "checks_fence", aService.mChecksFence },
           { "deadline_ms", aService.mDeadline.mCount },
           { "run_limit_ms", aService.mRunLimit.mCount },
           { "max_in_flight", aService.mMaxInFlight },
           { "connection_cost_ms", aService.mConnectionCost.mCount },
           { "probe_cost_ms", aService.mProbeCost.mCount } };
}

nlohmann::json
toJson(const config::Route& aRoute)
{
  return { { "method", aRoute.mMethod.empty() ? "any" : aRoute.mMethod },
           { "path", aRoute.mPath },
           { "service", aRoute.mService },
           { "key", describeKeySource(aRoute) },
           { "idempotent", aRoute.mIdempotent },
           { "open", aRoute.mIsPublic } };
}

}

nlohmann::json
toJson(const config::Model& aModel)
{
  nlohmann::json json = { { "workspaces", nlohmann::json::object() },
                          { "services", nlohmann::json::object() },
                          { "routes", nlohmann::json::object() },
                          { "zones", nlohmann::json::object() } };
  for (const auto& [name, workspace] : aModel.mWorkspaces) {
    json["workspaces"][name] = toJson(workspace);
  }
  for (const auto& [name, service] : aModel.mServices) {
    json["services"][name] = toJson(service);
  }
  for (const config::Route& route : aModel.mRoutes) {
    json["routes"][route.mName] = toJson(route);
  }
  for (const auto& [name, zone] : aModel.mZones) {
    json["zones"][name] = { { "in_service", zone.mInService } };
  }
  return json;
}

}

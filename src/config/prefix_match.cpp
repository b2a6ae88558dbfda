#include "radishroad/config/prefix_match.h"

#include "radishroad/config/model.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace radishroad::config {

const Route*
matchPrefix(const Model& aModel,
            std::string_view aHost,
            std::string_view aTarget)
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const Route* best = nullptr;
  for (const Route& route : aModel.mRoutes) {
    const bool longer =
      best == nullptr || route.mPrefix.size() > best->mPrefix.size();
    if (!route.mPrefix.empty() && longer && path.starts_with(route.mPrefix) &&
        boost::algorithm::iequals(route.mHost, host)) {
      best = &route;
    }
  }
  return best;
}

const std::string&
pickService(const Route& aRoute, std::uint64_t aRandomValue)
{
  std::uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += target.mWeight;
  }
  if (total == 0) {
    return aRoute.mService;
  }
  std::uint64_t offset = aRandomValue % total;
  for (const RouteTarget& target : aRoute.mTargets) {
    if (offset < target.mWeight) {
      return target.mService;
    }
    offset -= target.mWeight;
  }
  return aRoute.mTargets.back().mService;
}

}

#include "radishroad/config/route_match.h"

#include "radishroad/base/percent.h"

#include <algorithm>
#include <vector>

namespace radishroad::config {

namespace {

constexpr std::string_view kKeySegment = "{key}";
constexpr std::string_view kRestSegment = "*";

std::vector<std::string_view>
splitPath(std::string_view aPath)
{
  std::vector<std::string_view> segments;
  std::size_t start = 1;
  while (start <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('/', start), aPath.size());
    segments.push_back(aPath.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

struct PathMatch
{
  int mFixedSegments = 0;
  std::string_view mKey;
};

std::optional<PathMatch>
matchPath(std::string_view aPattern,
          const std::vector<std::string_view>& aSegments)
{
  const std::vector<std::string_view> wanted = splitPath(aPattern);
  PathMatch match;
  std::size_t n = 0;
  for (; n < wanted.size(); ++n) {
    if (wanted[n] == kRestSegment && n + 1 == wanted.size()) {
      return match;
    }
    if (n >= aSegments.size()) {
      return std::nullopt;
    }
    if (wanted[n] == kKeySegment) {
      match.mKey = aSegments[n];
      continue;
    }
    if (wanted[n] != aSegments[n]) {
      return std::nullopt;
    }
    ++match.mFixedSegments;
  }
  return n == aSegments.size() ? std::optional<PathMatch>(match) : std::nullopt;
}

/// The decoded value of the parameter; nothing if it is missing, broken or
/// there more than once, since an upstream may then read another one.
std::optional<std::string>
queryValue(std::string_view aQuery, std::string_view aName)
{
  std::optional<std::string> value;
  std::size_t start = 0;
  while (start < aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', start), aQuery.size());
    const std::string_view pair = aQuery.substr(start, end - start);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    start = end + 1;
    if (percentDecode(pair.substr(0, equals)) != aName) {
      continue;
    }
    if (value || equals == pair.size()) {
      return std::nullopt;
    }
    // In a query "+" is a space to many servers.
    std::string text(pair.substr(equals + 1));
    std::replace(text.begin(), text.end(), '+', ' ');
    value = percentDecode(text);
    if (!value) {
      return std::nullopt;
    }
  }
  return value;
}

std::optional<std::string>
readHeader(const HeaderFn& aHeader, const std::string& aName)
{
  const std::optional<std::string_view> value = aHeader(aName);
  return value ? std::optional<std::string>(*value) : std::nullopt;
}

/// The key decoded, so that each spelling of a key leads to one owner.
std::optional<std::string>
readKey(const Route& aRoute,
        const PathMatch& aMatch,
        std::string_view aQuery,
        const HeaderFn& aHeader)
{
  switch (aRoute.mKeySource) {
    case KeySource::Path:
      return percentDecode(aMatch.mKey);
    case KeySource::Query:
      return queryValue(aQuery, aRoute.mKeyName);
    case KeySource::Header:
      return readHeader(aHeader, aRoute.mKeyName);
  }
  return std::nullopt;
}

/// As matchRoute, for a method that stands for itself alone.
std::optional<RouteMatch>
matchMethod(const Model& aModel,
            std::string_view aMethod,
            std::string_view aTarget,
            const HeaderFn& aHeader)
{
  const std::size_t mark = std::min(aTarget.find('?'), aTarget.size());
  const std::vector<std::string_view> segments =
    splitPath(aTarget.substr(0, mark));
  const std::string_view query =
    mark < aTarget.size() ? aTarget.substr(mark + 1) : std::string_view();
  std::optional<RouteMatch> best;
  int bestFixed = -1;
  for (const Route& route : aModel.mRoutes) {
    if (!route.mMethod.empty() && route.mMethod != aMethod) {
      continue;
    }
    const std::optional<PathMatch> match = matchPath(route.mPath, segments);
    if (!match || match->mFixedSegments <= bestFixed) {
      continue;
    }
    std::optional<std::string> key = readKey(route, *match, query, aHeader);
    if (!key || key->empty()) {
      continue;
    }
    best = RouteMatch{ &route, std::move(*key) };
    bestFixed = match->mFixedSegments;
  }
  return best;
}

}

std::optional<RouteMatch>
matchRoute(const Model& aModel,
           std::string_view aMethod,
           std::string_view aTarget,
           const HeaderFn& aHeader)
{
  std::optional<RouteMatch> match =
    matchMethod(aModel, aMethod, aTarget, aHeader);
  if (!match && aMethod == "HEAD") {
    match = matchMethod(aModel, "GET", aTarget, aHeader);
  }
  return match;
}

}

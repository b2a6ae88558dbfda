#include "radishroad/config/route_match.h"

#include "radishroad/base/percent.h"

#include <algorithm>
#include <vector>

namespace radishroad::config {

namespace {

constexpr std::string_view kKeySegment = "{key}";
constexpr std::string_view kWildcardSegment = "*";

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
  const std::vector<std::string_view> patternSegments = splitPath(aPattern);
  PathMatch match;
  std::size_t n = 0;
  for (; n < patternSegments.size(); ++n) {
    if (patternSegments[n] == kWildcardSegment &&
        n + 1 == patternSegments.size()) {
      return match;
    }
    if (n >= aSegments.size()) {
      return std::nullopt;
    }
    if (patternSegments[n] == kKeySegment) {
      match.mKey = aSegments[n];
      continue;
    }
    if (patternSegments[n] != aSegments[n]) {
      return std::nullopt;
    }
    ++match.mFixedSegments;
  }
  return n == aSegments.size() ? std::optional<PathMatch>(match) : std::nullopt;
}

/// Decoded value of a query parameter. Nothing if the parameter is missing,
/// invalid or repeated, because upstreams may differ in which of the repeated
/// values they use.
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
    // Many servers decode "+" in a query as a space.
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
readHeader(const HeaderLookupFn& aLookUpHeader, const std::string& aName)
{
  const std::optional<std::string_view> value = aLookUpHeader(aName);
  return value ? std::optional<std::string>(*value) : std::nullopt;
}

/// The decoded key. Decoding ensures that all encodings of a key have the same
/// owner.
std::optional<std::string>
readKey(const Route& aRoute,
        const PathMatch& aMatch,
        std::string_view aQuery,
        const HeaderLookupFn& aLookUpHeader)
{
  switch (aRoute.mKeySource) {
    case KeySource::Path:
      return percentDecode(aMatch.mKey);
    case KeySource::Query:
      return queryValue(aQuery, aRoute.mKeyName);
    case KeySource::Header:
      return readHeader(aLookUpHeader, aRoute.mKeyName);
  }
  return std::nullopt;
}

/// As matchRoute, but without the fallback from HEAD to GET.
std::optional<RouteMatch>
matchMethod(const Model& aModel,
            std::string_view aMethod,
            std::string_view aTarget,
            const HeaderLookupFn& aLookUpHeader)
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
    std::optional<std::string> key =
      readKey(route, *match, query, aLookUpHeader);
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
           const HeaderLookupFn& aLookUpHeader)
{
  std::optional<RouteMatch> match =
    matchMethod(aModel, aMethod, aTarget, aLookUpHeader);
  if (!match && aMethod == "HEAD") {
    match = matchMethod(aModel, "GET", aTarget, aLookUpHeader);
  }
  return match;
}

}

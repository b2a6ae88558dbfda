#include "radishroad/config/path_pattern.h"

#include <algorithm>
#include <vector>

namespace radishroad::config {

namespace {

std::vector<std::string_view>
segmentsOf(std::string_view aPattern)
{
  std::vector<std::string_view> segments;
  aPattern.remove_prefix(1);
  while (true) {
    const std::size_t slash = aPattern.find('/');
    segments.push_back(aPattern.substr(0, slash));
    if (slash == std::string_view::npos) {
      return segments;
    }
    aPattern.remove_prefix(slash + 1);
  }
}

bool
isPlainSegment(std::string_view aSegment)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  return aSegment.find_first_not_of(kAllowed) == std::string_view::npos &&
         aSegment != "." && aSegment != "..";
}

bool
segmentsOverlap(std::string_view aFirst, std::string_view aSecond)
{
  return aFirst == kKeySegment || aSecond == kKeySegment || aFirst == aSecond;
}

}

std::string
pathPatternProblem(std::string_view aPattern)
{
  if (!aPattern.starts_with('/')) {
    return "path does not begin with /";
  }
  if (aPattern == "/") {
    return {};
  }
  const std::vector<std::string_view> segments = segmentsOf(aPattern);
  if (std::count(segments.begin(), segments.end(), kKeySegment) > 1) {
    return "path has more than one {key}";
  }
  for (std::size_t it = 0; it < segments.size(); ++it) {
    const std::string_view segment = segments[it];
    if (segment.empty()) {
      return "path has an empty segment";
    }
    if (segment == kWildcardSegment && it + 1 != segments.size()) {
      return "path has * before its last segment";
    }
    if (segment != kWildcardSegment && segment != kKeySegment &&
        !isPlainSegment(segment)) {
      return "path segment \"" + std::string(segment) + "\" is not allowed";
    }
  }
  return {};
}

bool
patternHasKey(std::string_view aPattern)
{
  if (!aPattern.starts_with('/')) {
    return false;
  }
  const std::vector<std::string_view> segments = segmentsOf(aPattern);
  return std::find(segments.begin(), segments.end(), kKeySegment) !=
         segments.end();
}

bool
patternsOverlap(std::string_view aFirst, std::string_view aSecond)
{
  const std::vector<std::string_view> first = segmentsOf(aFirst);
  const std::vector<std::string_view> second = segmentsOf(aSecond);
  const std::size_t shared = std::min(first.size(), second.size());
  for (std::size_t it = 0; it < shared; ++it) {
    if (first[it] == kWildcardSegment || second[it] == kWildcardSegment) {
      return true;
    }
    if (!segmentsOverlap(first[it], second[it])) {
      return false;
    }
  }
  // "/a/*" also matches "/a".
  const std::vector<std::string_view>& longer =
    first.size() > second.size() ? first : second;
  return first.size() == second.size() ||
         (longer.size() == shared + 1 && longer.back() == kWildcardSegment);
}

}

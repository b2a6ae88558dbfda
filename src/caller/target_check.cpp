#include "radishroad/caller/target_check.h"

#include "radishroad/base/percent.h"

#include <algorithm>
#include <optional>

namespace radishroad {

namespace {

bool
isPlainByte(char aByte)
{
  constexpr char kFirst = 0x21;
  constexpr char kLast = 0x7E;
  return aByte >= kFirst && aByte <= kLast && aByte != '\\' && aByte != '#';
}

/// Decodes the path or the query. Returns an error message, empty on success.
std::string
decodePart(std::string_view aPart, std::string& aDecoded)
{
  if (!std::all_of(aPart.begin(), aPart.end(), isPlainByte)) {
    return "target has a byte that is not allowed";
  }
  std::optional<std::string> decoded = percentDecode(aPart);
  if (!decoded) {
    return "target has a broken escape";
  }
  if (decoded->find('\0') != std::string::npos) {
    return "target has an encoded NUL";
  }
  aDecoded = std::move(*decoded);
  return {};
}

/// Unencoded backslashes have been refused before by isPlainByte.
bool
hasEncodedSeparator(std::string_view aPath, std::string_view aDecoded)
{
  return aDecoded.find('\\') != std::string_view::npos ||
         std::count(aDecoded.begin(), aDecoded.end(), '/') !=
           std::count(aPath.begin(), aPath.end(), '/');
}

bool
hasDotSegment(std::string_view aPath)
{
  while (!aPath.empty()) {
    const std::size_t slash = aPath.find('/');
    const std::string_view segment = aPath.substr(0, slash);
    if (segment == "." || segment == "..") {
      return true;
    }
    aPath.remove_prefix(slash == std::string_view::npos ? aPath.size()
                                                        : slash + 1);
  }
  return false;
}

}

std::string
targetProblem(std::string_view aTarget)
{
  if (!aTarget.starts_with('/')) {
    return "target is not an absolute path";
  }
  const std::size_t query = std::min(aTarget.find('?'), aTarget.size());
  const std::string_view path = aTarget.substr(0, query);
  std::string decoded;
  std::string error = decodePart(path, decoded);
  if (error.empty() && hasEncodedSeparator(path, decoded)) {
    error = "path has an encoded separator";
  }
  if (error.empty() && hasDotSegment(decoded)) {
    error = "path has a dot segment";
  }
  if (error.empty()) {
    error = decodePart(aTarget.substr(query), decoded);
  }
  return error;
}

}

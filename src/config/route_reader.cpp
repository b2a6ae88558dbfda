#include "radishroad/config/route_reader.h"

#include "radishroad/config/field_reader.h"
#include "radishroad/config/path_pattern.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace radishroad::config {

namespace {

constexpr std::array<std::string_view, 7> kMethods{ "GET",    "HEAD",   "POST",
                                                    "PUT",    "DELETE", "PATCH",
                                                    "OPTIONS" };

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool
isToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
                  kTokenPunctuation.find(aChar) != std::string_view::npos;
         });
}

std::string
lowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

/// Whether a route must not read its key from this header.
bool
isReservedHeader(std::string_view aName)
{
  const std::string name = lowerCase(aName);
  return name == "authorization" || name.starts_with("x-radishroad-");
}

void
readMethod(Route& aRoute, FieldReader& aFields)
{
  const std::optional<std::string> method = aFields.scalar("method");
  if (!method) {
    return;
  }
  aRoute.mMethod = *method;
  if (std::find(kMethods.begin(), kMethods.end(), *method) == kMethods.end()) {
    aFields.addFinding(
      aFields.lineOf("method"),
      "method is \"" + *method + "\"",
      "GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS, or no method "
      "for all of them");
  }
}

void
readPath(Route& aRoute, FieldReader& aFields)
{
  const std::optional<std::string> path =
    aFields.requiredScalar("path", "a path such as /catalog/{key}/page");
  if (!path) {
    return;
  }
  aRoute.mPath = *path;
  const std::string problem = pathPatternProblem(*path);
  if (!problem.empty()) {
    aFields.addFinding(
      aFields.lineOf("path"),
      problem,
      "/, fixed segments, {key} at most once, * only at the end");
  }
}

/// Reads "path", "query NAME" or "header NAME". Returns false if the value is
/// invalid or names a reserved header.
bool
readKey(Route& aRoute, FieldReader& aFields)
{
  const std::string key = aFields.scalar("key").value_or("path");
  const std::size_t space = key.find(' ');
  const std::string kind = key.substr(0, space);
  aRoute.mKeyName = space == std::string::npos ? "" : key.substr(space + 1);
  if (kind == "query") {
    aRoute.mKeySource = KeySource::Query;
  } else if (kind == "header") {
    aRoute.mKeySource = KeySource::Header;
  }
  const bool named = aRoute.mKeySource != KeySource::Path;
  const bool valid = named ? isToken(aRoute.mKeyName) : key == "path";
  const bool reserved =
    aRoute.mKeySource == KeySource::Header && isReservedHeader(aRoute.mKeyName);
  if (!valid || reserved) {
    aFields.addFinding(aFields.lineOf("key"),
                       "key is \"" + key + "\"",
                       "path, query NAME or header NAME; not Authorization or "
                       "X-Radishroad-*");
  }
  return valid && !reserved;
}

void
checkKeyInPath(const Route& aRoute, FieldReader& aFields)
{
  if (!pathPatternProblem(aRoute.mPath).empty()) {
    return;
  }
  const bool fromPath = aRoute.mKeySource == KeySource::Path;
  if (fromPath && !patternHasKey(aRoute.mPath)) {
    aFields.addFinding(
      aFields.lineOf("path"),
      "path has no {key}",
      "a {key} segment, or key: query NAME or key: header NAME");
  }
  if (!fromPath && patternHasKey(aRoute.mPath)) {
    aFields.addFinding(aFields.lineOf("path"),
                       "path has {key} though the key is read elsewhere",
                       "one source of the key");
  }
}

}

Route
readRoute(const std::string& aName, FieldReader& aFields)
{
  Route route;
  route.mName = aName;
  readMethod(route, aFields);
  readPath(route, aFields);
  route.mService =
    aFields.requiredScalar("service", "the name of a service").value_or("");
  if (readKey(route, aFields)) {
    checkKeyInPath(route, aFields);
  }
  route.mIdempotent = aFields.boolean("idempotent", false);
  route.mIsPublic = aFields.boolean("open", false);
  aFields.finish();
  return route;
}

}

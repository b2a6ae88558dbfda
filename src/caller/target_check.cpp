#include "radishroad/caller/target_check.h"

#include <cctype>
#include <optional>

namespace radishroad {

namespace {

constexpr std::size_t kEscapeLength = 3;

bool
isPlainByte(char aByte)
{
  constexpr char kFirst = 0x21;
  constexpr char kLast = 0x7E;
  return aByte >= kFirst && aByte <= kLast && aByte != '\\' && aByte != '#';
}

int
hexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(aDigit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// The byte that an escape at the front stands for.
std::optional<char>
decodeEscape(std::string_view aText)
{
  if (aText.size() < kEscapeLength) {
    return std::nullopt;
  }
  const int high = hexValue(aText[1]);
  const int low = hexValue(aText[2]);
  if (high < 0 || low < 0) {
    return std::nullopt;
  }
  return static_cast<char>(high * 16 + low);
}

bool
isPathSeparator(char aByte)
{
  return aByte == '/' || aByte == '\\';
}

/// Decodes one part; the problem if it has one.
std::string
decodePart(std::string_view aPart, bool aInPath, std::string& aDecoded)
{
  while (!aPart.empty()) {
    if (!isPlainByte(aPart.front())) {
      return "target has a byte that is not allowed";
    }
    if (aPart.front() != '%') {
      aDecoded += aPart.front();
      aPart.remove_prefix(1);
      continue;
    }
    const std::optional<char> byte = decodeEscape(aPart);
    if (!byte) {
      return "target has a broken escape";
    }
    if (*byte == '\0') {
      return "target has an encoded NUL";
    }
    if (aInPath && isPathSeparator(*byte)) {
      return "path has an encoded separator";
    }
    aDecoded += *byte;
    aPart.remove_prefix(kEscapeLength);
  }
  return {};
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
  const std::size_t query = aTarget.find('?');
  std::string path;
  std::string problem = decodePart(aTarget.substr(0, query), true, path);
  if (problem.empty() && hasDotSegment(path)) {
    problem = "path has a dot segment";
  }
  if (problem.empty() && query != std::string_view::npos) {
    std::string unused;
    problem = decodePart(aTarget.substr(query), false, unused);
  }
  return problem;
}

}

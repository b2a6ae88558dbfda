#include "radishroad/caller/head_check.h"

#include "radishroad/caller/header_filter.h"
#include "radishroad/caller/target_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace radishroad {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxTargetBytes = 8U << 10;
constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

/// Fields that may occur only once; repeated, they are ambiguous.
constexpr std::array<http::field, 5> kSingletonFields{
  http::field::authorization,
  http::field::content_length,
  http::field::expect,
  http::field::host,
  http::field::transfer_encoding,
};
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";

bool
isTokenByte(char aByte)
{
  return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
         kTokenPunctuation.find(aByte) != std::string_view::npos;
}

/// Whether the bytes can be the beginning of a request line. Without this
/// check, the parser would wait for the end of a line in input that is not
/// HTTP.
bool
couldBeRequestLine(std::string_view aBytes)
{
  const std::size_t space = aBytes.find(' ');
  const std::string_view method = aBytes.substr(0, space);
  if (method.size() > kMaxMethodBytes || space == 0 ||
      !std::all_of(method.begin(), method.end(), isTokenByte)) {
    return false;
  }
  const std::size_t end = aBytes.find('\n');
  if (end == std::string_view::npos) {
    return true;
  }
  return aBytes.substr(0, end).find(" HTTP/1.") != std::string_view::npos;
}

/// The parser accepts only CRLF as the end of a line and would wait for one.
bool
hasBareLineFeed(std::string_view aBytes)
{
  char last = '\0';
  for (const char byte : aBytes) {
    if (byte == '\n' && last != '\r') {
      return true;
    }
    last = byte;
  }
  return false;
}

bool
isNumber(std::string_view aText)
{
  return !aText.empty() &&
         aText.find_first_not_of("0123456789") == std::string_view::npos;
}

Refusal
malformed(std::string aMessage)
{
  return { 400, "malformed", std::move(aMessage) };
}

/// Refuses framing that servers could interpret differently.
std::optional<Refusal>
checkFields(const RequestHead& aHead)
{
  const bool repeated = std::any_of(
    kSingletonFields.begin(),
    kSingletonFields.end(),
    [&aHead](http::field aField) { return aHead.count(aField) > 1; });
  if (repeated || aHead.count(boost::beast::string_view(
                    kIdempotencyKey.data(), kIdempotencyKey.size())) > 1) {
    return malformed("a field that may come once is repeated");
  }
  // Boost.Beast parses "1,1" as 1.
  const auto length = aHead.find(http::field::content_length);
  if (length != aHead.end() && !isNumber(toStringView(length->value()))) {
    return malformed("Content-Length is no number");
  }
  const auto encoding = aHead.find(http::field::transfer_encoding);
  if (encoding == aHead.end()) {
    return std::nullopt;
  }
  const bool understood =
    equalsIgnoringCase(toStringView(encoding->value()), "chunked") &&
    aHead.version() == 11 && aHead.count(http::field::content_length) == 0;
  if (!understood) {
    return malformed("the transfer encoding is not chunked");
  }
  return std::nullopt;
}

}

bool
couldBeRequestHead(std::string_view aBytes, bool aHasStartLine)
{
  return (aHasStartLine || couldBeRequestLine(aBytes)) &&
         !hasBareLineFeed(aBytes);
}

std::optional<Refusal>
checkHead(const RequestHead& aHead)
{
  if (aHead.target().size() > kMaxTargetBytes) {
    return Refusal{ 414, "target-too-long", "the request target is too long" };
  }
  std::string problem = targetProblem(toStringView(aHead.target()));
  if (!problem.empty()) {
    return malformed(std::move(problem));
  }
  if (std::optional<Refusal> refusal = checkFields(aHead)) {
    return refusal;
  }
  const auto expect = aHead.find(http::field::expect);
  if (expect != aHead.end() &&
      !equalsIgnoringCase(toStringView(expect->value()), "100-continue")) {
    return Refusal{ 417, "expectation-failed", "only 100-continue is known" };
  }
  return std::nullopt;
}

}

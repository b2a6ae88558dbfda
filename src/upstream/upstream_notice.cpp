#include "radishroad/upstream/upstream_notice.h"

#include "radishroad/base/json_log.h"
#include "radishroad/http/header_text.h"
#include "radishroad/upstream/exchange.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::string_view kTrue = "1";

/// Parses a non-negative decimal number.
std::optional<double>
parseRate(std::string_view aText)
{
  double rate = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] =
    std::from_chars(aText.data(), end, rate, std::chars_format::fixed);
  const bool isNumber = error == std::errc{} && rest == end;
  return isNumber && std::isfinite(rate) && rate >= 0
           ? std::optional<double>(rate)
           : std::nullopt;
}

void
logMalformed(const std::string& aHeader, std::string_view aValue)
{
  logEvent(LogLevel::Warn,
           "upstream_notice_malformed",
           { { "header", aHeader }, { "value", std::string(aValue) } });
}

}

std::optional<UpstreamNotice>
readUpstreamNotice(const UpstreamResponse& aResponse,
                   const NoticeHeaders& aHeaders)
{
  UpstreamNotice notice;
  const std::string_view limit =
    trimWhitespace(aResponse.header(aHeaders.mLimit));
  if (!limit.empty()) {
    notice.mLimitPerSecond = parseRate(limit);
    if (!notice.mLimitPerSecond) {
      logMalformed(aHeaders.mLimit, limit);
      return std::nullopt;
    }
  }
  const std::string_view leaving =
    trimWhitespace(aResponse.header(aHeaders.mLeaving));
  if (!leaving.empty() && leaving != kTrue) {
    logMalformed(aHeaders.mLeaving, leaving);
    return std::nullopt;
  }
  notice.mLeaving = !leaving.empty();
  return notice;
}

}

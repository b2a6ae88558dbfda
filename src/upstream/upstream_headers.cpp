#include "radishroad/upstream/upstream_headers.h"

#include "radishroad/http/header_text.h"

#include <algorithm>
#include <array>

namespace radishroad {

namespace {

constexpr std::string_view kRadishroadPrefix = "X-Radishroad-";
constexpr std::string_view kNotRunHeader = "X-Not-Run";

/// Not forwarded: the caller's API key, and headers that the daemon sets.
constexpr std::array<std::string_view, 2> kExcludedHeaders{ "authorization",
                                                            "content-length" };

/// Value of the `Connection` header, which names further hop-by-hop headers.
std::string_view
connectionOptions(const ForwardRequest& aRequest)
{
  for (const auto& header : aRequest.headers) {
    if (sameHeaderName(header->name, "connection")) {
      return header->value;
    }
  }
  return {};
}

bool
isForwarded(std::string_view aName, std::string_view aConnectionOptions)
{
  const bool isExcluded =
    std::ranges::any_of(kExcludedHeaders, [aName](std::string_view aOther) {
      return sameHeaderName(aName, aOther);
    });
  return !isExcluded && !isHopByHop(aName) &&
         !startsWithIgnoreCase(aName, kRadishroadPrefix) &&
         !listContains(aConnectionOptions, aName);
}

void
addRadishroadHeaders(std::vector<std::string>& aLines,
                     const ForwardRequest& aRequest,
                     Epoch aEpoch,
                     Millis aTimeLeft)
{
  const auto add = [&aLines](std::string_view aName, std::string_view aValue) {
    aLines.push_back(
      headerLine(std::string(kRadishroadPrefix).append(aName), aValue));
  };
  add("Request-Id", idOf(aRequest).toString());
  if (!aRequest.workspace.empty()) {
    add("Workspace", aRequest.workspace);
  }
  add("Key-Hash", std::to_string(aRequest.key_hash));
  add("Shard", std::to_string(aRequest.shard));
  add("Epoch", std::to_string(aEpoch));
  add("Deadline-Ms", std::to_string(aTimeLeft.mCount));
  // A suspended upstream would read the request late and count the remaining
  // time from then. It shares this VM's clock, so an absolute time is reliable.
  add("Deadline-At", std::to_string((wallNow() + aTimeLeft).mCount));
}

}

bool
isWellFormed(const ForwardRequest& aRequest)
{
  const bool headersValid =
    std::ranges::all_of(aRequest.headers, [](const auto& aHeader) {
      return isToken(aHeader->name) && hasNoControlCharacters(aHeader->value);
    });
  return headersValid && isToken(aRequest.method) &&
         isValidTarget(aRequest.target) &&
         hasNoControlCharacters(aRequest.workspace);
}

std::string
headerLine(std::string_view aName, std::string_view aValue)
{
  // libcurl removes a header passed as "Name:"; "Name;" sends it empty.
  std::string line(aName);
  return aValue.empty() ? line + ";" : line.append(": ").append(aValue);
}

std::vector<std::string>
forwardedHeaderLines(const ForwardRequest& aRequest,
                     std::span<const std::string_view> aExcludedHeaders)
{
  const std::string_view options = connectionOptions(aRequest);
  // "Name:" entries suppress headers that libcurl adds by default.
  std::vector<std::string> lines{ "Expect:" };
  bool hasType = false;
  bool hasAccept = false;
  for (const auto& header : aRequest.headers) {
    const bool isExcluded =
      std::ranges::any_of(aExcludedHeaders, [&header](std::string_view aName) {
        return sameHeaderName(header->name, aName);
      });
    if (isExcluded || !isForwarded(header->name, options)) {
      continue;
    }
    hasType = hasType || sameHeaderName(header->name, "content-type");
    hasAccept = hasAccept || sameHeaderName(header->name, "accept");
    lines.push_back(headerLine(header->name, header->value));
  }
  if (!hasType) {
    lines.emplace_back("Content-Type:");
  }
  if (!hasAccept) {
    lines.emplace_back("Accept:");
  }
  return lines;
}

std::vector<std::string>
upstreamHeaderLines(const ForwardRequest& aRequest,
                    Epoch aEpoch,
                    Millis aTimeLeft)
{
  std::vector<std::string> lines = forwardedHeaderLines(aRequest, {});
  addRadishroadHeaders(lines, aRequest, aEpoch, aTimeLeft);
  return lines;
}

Answer
makeAnswered(const ForwardRequest& aRequest, UpstreamResponse aResponse)
{
  Answer answer;
  answer.id_high = aRequest.id_high;
  answer.id_low = aRequest.id_low;
  answer.kind = AnswerKind::Answered;
  answer.status = static_cast<std::uint16_t>(aResponse.mStatus);
  const std::string options(aResponse.header("connection"));
  for (wire::HeaderT& header : aResponse.mHeaders) {
    if (isForwarded(header.name, options)) {
      answer.headers.push_back(
        std::make_unique<wire::HeaderT>(std::move(header)));
    }
  }
  answer.body = std::move(aResponse.mBody);
  answer.ends_with_connection = aResponse.mEndsWithConnection;
  return answer;
}

NotRunReason
provenNotRun(const UpstreamResponse& aResponse)
{
  const std::string_view notRunReason = aResponse.header(kNotRunHeader);
  if (aResponse.mStatus == 409 && notRunReason == "stale-fence") {
    return NotRunReason::NotOwner;
  }
  if (aResponse.mStatus == 503 && notRunReason == "shed") {
    return NotRunReason::Shed;
  }
  if (aResponse.mStatus == 504 && notRunReason == "deadline") {
    return NotRunReason::DeadlinePassed;
  }
  return NotRunReason::None;
}

}

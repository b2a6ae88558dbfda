#include "radishroad/http/response_head.h"

#include "radishroad/http/header_text.h"

#include <charconv>
#include <limits>
#include <optional>

namespace radishroad {

namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

/// Parses decimal digits; nullopt if there is anything else.
std::optional<std::uint64_t>
parseDigits(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  // libcurl counts lengths with a signed type.
  constexpr auto kMax =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const bool isNumber = error == std::errc{} && rest == end && value <= kMax;
  return isNumber ? std::optional<std::uint64_t>(value) : std::nullopt;
}

}

ResponseHead::ResponseHead(bool aIsHead)
  : mIsHead(aIsHead)
{
}

bool
ResponseHead::reject(std::string_view aError)
{
  mError = aError;
  return false;
}

bool
ResponseHead::ended() const
{
  return mFraming != Framing::Unknown && mError.empty();
}

bool
ResponseHead::isWhole(std::uint64_t aBodyBytes) const
{
  const bool hasLength =
    mFraming == Framing::Length || mFraming == Framing::NoBody;
  return ended() && (!hasLength || aBodyBytes == mLength);
}

bool
ResponseHead::addLine(std::string_view aLine)
{
  if (!mError.empty()) {
    return false;
  }
  mBytes += aLine.size();
  if (mBytes > kMaxBytes) {
    return reject("head too large");
  }
  if (!aLine.ends_with('\n')) {
    return reject("line without end");
  }
  aLine.remove_suffix(aLine.ends_with("\r\n") ? 2 : 1);
  if (!hasNoControlCharacters(aLine)) {
    return reject("control character");
  }
  if (mFraming != Framing::Unknown) {
    const bool isTrailer = mFraming == Framing::Chunked;
    if (!isTrailer) {
      return reject("line after the head");
    }
    return aLine.empty() || addField(aLine);
  }
  if (mStatus == 0) {
    return addStatusLine(aLine);
  }
  return aLine.empty() ? endHead() : addField(aLine);
}

std::size_t
ResponseHead::addCurlLine(char* aData,
                          std::size_t aSize,
                          std::size_t aCount,
                          void* aHead)
{
  const std::size_t n = aSize * aCount;
  return static_cast<ResponseHead*>(aHead)->addLine({ aData, n }) ? n : 0;
}

bool
ResponseHead::addStatusLine(std::string_view aLine)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusAt = kVersion.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusAt + 3;
  const bool hasShape =
    aLine.starts_with(kVersion) && aLine.size() >= kStatusEnd &&
    (aLine[kVersion.size()] == '0' || aLine[kVersion.size()] == '1') &&
    aLine[kStatusAt - 1] == ' ' &&
    (aLine.size() == kStatusEnd || aLine[kStatusEnd] == ' ');
  const std::optional<std::uint64_t> status =
    hasShape ? parseDigits(aLine.substr(kStatusAt, 3)) : std::nullopt;
  // Nothing asks for another protocol, so that none may be switched to.
  if (!status || *status < kMinStatus || *status > kMaxStatus ||
      *status == kSwitchingProtocols) {
    return reject("status line");
  }
  mStatus = static_cast<int>(*status);
  mIsVersion10 = aLine[kVersion.size()] == '0';
  return true;
}

bool
ResponseHead::addField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  // Also rejects continuation lines, and blanks between name and colon.
  if (colon == std::string_view::npos || !isToken(aLine.substr(0, colon))) {
    return reject("header line");
  }
  const bool isTrailer = mFraming != Framing::Unknown;
  if (!isTrailer) {
    wire::HeaderT header;
    header.name = aLine.substr(0, colon);
    header.value = trimWhitespace(aLine.substr(colon + 1));
    mHeaders.push_back(std::move(header));
  }
  return true;
}

bool
ResponseHead::endHead()
{
  if (mStatus >= kFirstFinalStatus) {
    return readFraming();
  }
  mStatus = 0;
  mHeaders.clear();
  return true;
}

bool
ResponseHead::readFraming()
{
  int lengths = 0;
  int encodings = 0;
  for (const wire::HeaderT& header : mHeaders) {
    if (sameHeaderName(header.name, "content-length")) {
      const std::optional<std::uint64_t> length = parseDigits(header.value);
      if (!length) {
        return reject("content-length");
      }
      mLength = *length;
      ++lengths;
    }
    if (sameHeaderName(header.name, "transfer-encoding")) {
      // No other encoding is asked for.
      if (!sameHeaderName(header.value, "chunked")) {
        return reject("transfer-encoding");
      }
      ++encodings;
    }
  }
  if (lengths + encodings > 1) {
    return reject("ambiguous length");
  }
  if (encodings > 0 && mIsVersion10) {
    return reject("transfer-encoding");
  }
  if (mIsHead || mStatus == kNoContent || mStatus == kNotModified) {
    mLength = 0;
    mFraming = Framing::NoBody;
  } else if (encodings > 0) {
    mFraming = Framing::Chunked;
  } else {
    mFraming = lengths > 0 ? Framing::Length : Framing::ConnectionEnd;
  }
  return true;
}

std::string_view
framingName(ResponseHead::Framing aFraming)
{
  switch (aFraming) {
    case ResponseHead::Framing::Unknown:
      return "unknown";
    case ResponseHead::Framing::NoBody:
      return "no-body";
    case ResponseHead::Framing::Length:
      return "length";
    case ResponseHead::Framing::Chunked:
      return "chunked";
    case ResponseHead::Framing::ConnectionEnd:
      return "connection-end";
  }
  return "";
}

}

#include "radishroad/caller/request_reader.h"

#include "radishroad/caller/header_filter.h"
#include "radishroad/caller/target_check.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace radishroad {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxTargetBytes = 8U << 10;
constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

/// Fields whose meaning is lost if they come twice.
constexpr std::array<http::field, 5> kSingleFields{
  http::field::authorization,
  http::field::content_length,
  http::field::expect,
  http::field::host,
  http::field::transfer_encoding,
};
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";

std::string_view
view(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
isTokenByte(char aByte)
{
  return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
         kTokenMarks.find(aByte) != std::string_view::npos;
}

/// A request line may begin like this. Without the check, bytes that are no
/// HTTP would wait for an end of line that never comes.
bool
mayBeginRequest(std::string_view aBytes)
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

/// The parser would wait for an end of line that it knows.
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

void
skipEmptyLines(std::string& aInput)
{
  std::size_t n = 0;
  while (aInput.compare(n, 2, "\r\n") == 0) {
    n += 2;
  }
  aInput.erase(0, n);
}

}

struct RequestReader::Parser
{
  http::request_parser<http::string_body> mParser;
  bool mHasStartLine = false;
  /// Number of fields before the body. The parser adds a chunked body's
  /// trailer fields to them, which must not pass for header fields.
  std::ptrdiff_t mFieldCount = 0;
};

RequestReader::RequestReader(Limits aLimits)
  : mLimits(aLimits)
{
}

RequestReader::~RequestReader() = default;

void
RequestReader::feed(std::string_view aBytes)
{
  if (!mEnded) {
    mInput.append(aBytes);
    mNeedMore = false;
  }
}

RequestReader::Phase
RequestReader::phase() const
{
  if (mEnded) {
    return Phase::Ended;
  }
  if (!mParser) {
    return mInput.empty() ? Phase::Idle : Phase::Head;
  }
  return mHeadChecked ? Phase::Body : Phase::Head;
}

bool
RequestReader::takeContinueWanted()
{
  return std::exchange(mContinueWanted, false);
}

RequestReader::Outcome
RequestReader::refuse(unsigned aStatus,
                      std::string_view aReason,
                      std::string aMessage)
{
  mEnded = true;
  mInput.clear();
  mParser.reset();
  return tl::unexpected<Refusal>(
    Refusal{ aStatus, std::string(aReason), std::move(aMessage) });
}

std::optional<RequestReader::Outcome>
RequestReader::next(Millis aNow)
{
  while (!mEnded && !mNeedMore) {
    if (!mParser) {
      skipEmptyLines(mInput);
      if (mInput.empty() || mInput == "\r") {
        return std::nullopt;
      }
      mParser = std::make_unique<Parser>();
      mParser->mParser.header_limit(
        static_cast<std::uint32_t>(mLimits.mMaxHeaderBytes));
      mParser->mParser.body_limit(mLimits.mMaxBodyBytes);
      mHeadChecked = false;
    }
    if (std::optional<Outcome> refusal = step()) {
      return refusal;
    }
    if (mParser->mParser.is_done()) {
      return finish(aNow);
    }
  }
  return std::nullopt;
}

std::optional<RequestReader::Outcome>
RequestReader::step()
{
  http::request_parser<http::string_body>& parser = mParser->mParser;
  boost::beast::error_code ec;
  const std::size_t n = parser.put(boost::asio::buffer(mInput), ec);
  mInput.erase(0, n);
  mParser->mHasStartLine = mParser->mHasStartLine || n > 0;
  if (ec == http::error::need_more) {
    mNeedMore = true;
    return mHeadChecked ? std::nullopt : checkPartialHead();
  }
  if (ec) {
    return parseFailure(ec.value(), ec.message());
  }
  if (parser.is_header_done() && !mHeadChecked) {
    mHeadChecked = true;
    mNeedMore = mInput.empty() && !parser.is_done();
    return checkHead();
  }
  mNeedMore = n == 0 || mInput.empty();
  return std::nullopt;
}

std::optional<RequestReader::Outcome>
RequestReader::checkPartialHead()
{
  const bool plausible = mParser->mHasStartLine || mayBeginRequest(mInput);
  if (!plausible || hasBareLineFeed(mInput)) {
    return refuse(400, "malformed", "the bytes are no HTTP/1.1 request");
  }
  if (mInput.size() <= mLimits.mMaxHeaderBytes) {
    return std::nullopt;
  }
  return parseFailure(static_cast<int>(http::error::header_limit), {});
}

RequestReader::Outcome
RequestReader::parseFailure(int aError, std::string aMessage)
{
  switch (static_cast<http::error>(aError)) {
    case http::error::body_limit:
      return refuse(413,
                    "body-too-large",
                    "the body is larger than " +
                      std::to_string(mLimits.mMaxBodyBytes) + " bytes");
    case http::error::header_limit:
      if (!mParser->mHasStartLine &&
          mInput.find('\n') >= mLimits.mMaxHeaderBytes) {
        return refuse(414, "target-too-long", "the request line is too long");
      }
      return refuse(431,
                    "header-too-large",
                    "the header is larger than " +
                      std::to_string(mLimits.mMaxHeaderBytes) + " bytes");
    default:
      return refuse(400, "malformed", std::move(aMessage));
  }
}

std::optional<RequestReader::Outcome>
RequestReader::checkHead()
{
  const auto& head = mParser->mParser.get();
  if (head.target().size() > kMaxTargetBytes) {
    return refuse(414, "target-too-long", "the request target is too long");
  }
  std::string problem = targetProblem(view(head.target()));
  if (!problem.empty()) {
    return refuse(400, "malformed", std::move(problem));
  }
  std::optional<Outcome> refusal = checkFields();
  if (refusal) {
    return refusal;
  }
  const auto expect = head.find(http::field::expect);
  if (expect != head.end()) {
    if (!equalsIgnoringCase(view(expect->value()), "100-continue")) {
      return refuse(417, "expectation-failed", "only 100-continue is known");
    }
    mContinueWanted = !mParser->mParser.is_done();
  }
  mParser->mFieldCount = std::distance(head.begin(), head.end());
  // From here on one call takes all that is there of the body.
  mParser->mParser.eager(true);
  return std::nullopt;
}

std::optional<RequestReader::Outcome>
RequestReader::checkFields()
{
  const auto& head = mParser->mParser.get();
  const bool repeated =
    std::any_of(kSingleFields.begin(),
                kSingleFields.end(),
                [&head](http::field aField) { return head.count(aField) > 1; });
  if (repeated || head.count(boost::beast::string_view(
                    kIdempotencyKey.data(), kIdempotencyKey.size())) > 1) {
    return refuse(400, "malformed", "a field that may come once is repeated");
  }
  // The parser reads "1,1" as 1.
  const auto length = head.find(http::field::content_length);
  if (length != head.end() && !isNumber(view(length->value()))) {
    return refuse(400, "malformed", "Content-Length is no number");
  }
  const auto encoding = head.find(http::field::transfer_encoding);
  if (encoding == head.end()) {
    return std::nullopt;
  }
  const bool understood =
    equalsIgnoringCase(view(encoding->value()), "chunked") &&
    head.version() == 11 && head.count(http::field::content_length) == 0;
  if (!understood) {
    return refuse(400, "malformed", "the transfer encoding is not chunked");
  }
  return std::nullopt;
}

RequestReader::Outcome
RequestReader::finish(Millis aNow)
{
  const std::ptrdiff_t fieldCount = mParser->mFieldCount;
  http::request<http::string_body> message = mParser->mParser.release();
  mParser.reset();
  mContinueWanted = false;
  ReadRequest read;
  read.mKeepAlive = message.keep_alive();
  read.mIsHead = message.method() == http::verb::head;
  CallerRequest& request = read.mRequest;
  request.mId = makeRandomId();
  request.mMethod = view(message.method_string());
  request.mTarget = view(message.target());
  request.mReceivedAt = aNow;
  HeaderFilter filter;
  const auto connections = message.equal_range(http::field::connection);
  for (auto it = connections.first; it != connections.second; ++it) {
    filter.addConnection(view(it->value()));
  }
  const auto end = std::next(message.begin(), fieldCount);
  for (auto it = message.begin(); it != end; ++it) {
    if (filter.passes(view(it->name_string()))) {
      wire::HeaderT header;
      header.name = view(it->name_string());
      header.value = view(it->value());
      request.mHeaders.push_back(std::move(header));
    }
  }
  request.mBody = std::move(message.body());
  return read;
}

}

#include "radishroad/caller/request_reader.h"

#include "radishroad/caller/head_check.h"
#include "radishroad/caller/header_filter.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace radishroad {

namespace {

namespace http = boost::beast::http;

/// Retry-After of a request for which no memory is left.
constexpr Millis kMemoryRetryAfter{ 1000 };

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
  /// Number of header fields. The parser appends the trailer fields of a
  /// chunked body to them, and trailers must not be treated as headers.
  std::ptrdiff_t mFieldCount = 0;
};

RequestReader::RequestReader(Limits aLimits)
  : mLimits(std::move(aLimits))
  , mShare(mLimits.mBodyMemory)
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

RequestReader::ReadResult
RequestReader::refuse(Refusal aRefusal)
{
  mEnded = true;
  std::string().swap(mInput);
  mParser.reset();
  mShare.resize(0);
  return tl::unexpected<Refusal>(std::move(aRefusal));
}

std::optional<RequestReader::ReadResult>
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
    if (std::optional<ReadResult> refusal = parseInput()) {
      return refusal;
    }
    if (!reserveHeld()) {
      return refuseForMemory();
    }
    if (mParser->mParser.is_done()) {
      return takeRequest(aNow);
    }
  }
  return std::nullopt;
}

std::optional<RequestReader::ReadResult>
RequestReader::parseInput()
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
    return refuseParseError(ec.value(), ec.message());
  }
  if (parser.is_header_done() && !mHeadChecked) {
    mHeadChecked = true;
    mNeedMore = mInput.empty() && !parser.is_done();
    return processHead();
  }
  mNeedMore = n == 0 || mInput.empty();
  return std::nullopt;
}

bool
RequestReader::reserveHeld()
{
  const std::size_t body = mParser ? mParser->mParser.get().body().size() : 0;
  return mShare.tryResize(mInput.size() + body);
}

RequestReader::ReadResult
RequestReader::refuseForMemory()
{
  return refuse({ 503,
                  "no-memory",
                  "no memory is left for the request; retry it later",
                  kMemoryRetryAfter });
}

std::optional<RequestReader::ReadResult>
RequestReader::checkPartialHead()
{
  if (!couldBeRequestHead(mInput, mParser->mHasStartLine)) {
    return refuse({ 400, "malformed", "the bytes are no HTTP/1.1 request" });
  }
  if (mInput.size() <= mLimits.mMaxHeaderBytes) {
    return std::nullopt;
  }
  return refuseParseError(static_cast<int>(http::error::header_limit), {});
}

RequestReader::ReadResult
RequestReader::refuseParseError(int aError, std::string aMessage)
{
  switch (static_cast<http::error>(aError)) {
    case http::error::body_limit:
      return refuse({ 413,
                      "body-too-large",
                      "the body is larger than " +
                        std::to_string(mLimits.mMaxBodyBytes) + " bytes" });
    case http::error::header_limit:
      if (!mParser->mHasStartLine &&
          mInput.find('\n') >= mLimits.mMaxHeaderBytes) {
        return refuse(
          { 414, "target-too-long", "the request line is too long" });
      }
      return refuse({ 431,
                      "header-too-large",
                      "the header is larger than " +
                        std::to_string(mLimits.mMaxHeaderBytes) + " bytes" });
    default:
      return refuse({ 400, "malformed", std::move(aMessage) });
  }
}

std::optional<RequestReader::ReadResult>
RequestReader::processHead()
{
  const RequestHead& head = mParser->mParser.get();
  if (std::optional<Refusal> refusal = checkHead(head)) {
    return refuse(std::move(*refusal));
  }
  const boost::optional<std::uint64_t> length =
    mParser->mParser.content_length();
  const BodyMemory* memory = mLimits.mBodyMemory.get();
  if (memory != nullptr && length &&
      !BodyMemory::mayGrow(memory->maxBytes(),
                           memory->usedBytes(),
                           0,
                           static_cast<std::size_t>(*length))) {
    return refuseForMemory();
  }
  const bool expects = head.count(http::field::expect) > 0;
  mContinueWanted = expects && !mParser->mParser.is_done();
  mParser->mFieldCount = std::distance(head.begin(), head.end());
  // In eager mode, one call to put() consumes all available bytes of the body.
  mParser->mParser.eager(true);
  return std::nullopt;
}

RequestReader::ReadResult
RequestReader::takeRequest(Millis aNow)
{
  const std::ptrdiff_t fieldCount = mParser->mFieldCount;
  http::request<http::string_body> message = mParser->mParser.release();
  mParser.reset();
  mContinueWanted = false;
  ParsedRequest parsed;
  parsed.mKeepAlive = message.keep_alive();
  parsed.mIsHead = message.method() == http::verb::head;
  CallerRequest& request = parsed.mRequest;
  request.mId = makeRandomId();
  request.mMethod = toStringView(message.method_string());
  request.mTarget = toStringView(message.target());
  request.mReceivedAt = aNow;
  HeaderFilter filter;
  const auto connections = message.equal_range(http::field::connection);
  for (auto it = connections.first; it != connections.second; ++it) {
    filter.addConnectionField(toStringView(it->value()));
  }
  const auto end = std::next(message.begin(), fieldCount);
  for (auto it = message.begin(); it != end; ++it) {
    if (filter.passes(toStringView(it->name_string()))) {
      wire::HeaderT header;
      header.name = toStringView(it->name_string());
      header.value = toStringView(it->value());
      request.mHeaders.push_back(std::move(header));
    }
  }
  request.mBody = std::move(message.body());
  mShare.resize(mInput.size());
  request.mBodyShare = BodyShare(mLimits.mBodyMemory);
  request.mBodyShare.resize(request.mBody.size());
  return parsed;
}

}

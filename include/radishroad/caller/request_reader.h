#ifndef RADISHROAD_CALLER_REQUEST_READER_H
#define RADISHROAD_CALLER_REQUEST_READER_H

#include "radishroad/caller/refusal.h"
#include "radishroad/request/request.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace radishroad {

/// A complete request, and how its answer must be written.
struct ParsedRequest
{
  CallerRequest mRequest;
  /// The caller keeps the connection open after the answer.
  bool mKeepAlive = true;
  /// A HEAD request: the answer has no body.
  bool mIsHead = false;
};

/// Parses the byte stream of one connection into complete, checked requests.
/// Boost.Beast does the parsing; requests that it accepts but a router must not
/// forward are refused here.
class RequestReader
{
public:
  struct Limits
  {
    std::size_t mMaxHeaderBytes = 16U << 10;
    std::size_t mMaxBodyBytes = 16U << 20;
    std::shared_ptr<BodyMemory> mBodyMemory = {};
  };

  enum class Phase
  {
    /// Between requests.
    Idle,
    Head,
    Body,
    /// A request was refused; no more input is read.
    Ended,
  };

  using ReadResult = tl::expected<ParsedRequest, Refusal>;

  explicit RequestReader(Limits aLimits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  void feed(std::string_view aBytes);
  /// The next complete request, or the refusal that ends the connection.
  /// Nothing if more bytes are needed.
  std::optional<ReadResult> next(Millis aNow);
  Phase phase() const;
  /// Number of bytes that were fed and not yet parsed.
  std::size_t bufferedBytes() const { return mInput.size(); }
  /// Counts what is held of requests that are not complete; false if the memory
  /// for bodies has no room for it.
  bool reserveHeld();
  /// Returns true once for each request whose caller waits for
  /// "100 Continue".
  bool takeContinueWanted();

private:
  struct Parser;

  ReadResult refuse(Refusal aRefusal);
  std::optional<ReadResult> parseInput();
  std::optional<ReadResult> processHead();
  std::optional<ReadResult> checkPartialHead();
  ReadResult refuseForMemory();
  ReadResult takeRequest(Millis aNow);
  ReadResult refuseParseError(int aError, std::string aMessage);

  Limits mLimits;
  std::string mInput;
  BodyShare mShare;
  std::unique_ptr<Parser> mParser;
  bool mHeadChecked = false;
  bool mContinueWanted = false;
  bool mEnded = false;
  bool mNeedMore = false;
};

}

#endif

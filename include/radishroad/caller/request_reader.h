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

/// A whole request and how its answer must be written.
struct ReadRequest
{
  CallerRequest mRequest;
  /// The caller keeps the connection open after the answer.
  bool mKeepAlive = true;
  /// The answer has no body.
  bool mIsHead = false;
};

/// Cuts the bytes of one connection into whole, checked requests. Parsing is
/// Boost.Beast's; what it lets pass and a router must not is refused here.
class RequestReader
{
public:
  struct Limits
  {
    std::size_t mMaxHeaderBytes = 16U << 10;
    std::size_t mMaxBodyBytes = 16U << 20;
  };

  enum class Phase
  {
    /// Between requests.
    Idle,
    Head,
    Body,
    /// After a refusal: nothing more is read.
    Ended,
  };

  using Outcome = tl::expected<ReadRequest, Refusal>;

  explicit RequestReader(Limits aLimits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  void feed(std::string_view aBytes);
  /// The next whole request, or the refusal that ends the connection; nothing
  /// if more bytes are needed.
  std::optional<Outcome> next(Millis aNow);
  Phase phase() const;
  /// Bytes fed and not yet parsed.
  std::size_t heldBytes() const { return mInput.size(); }
  /// True once for each request whose caller waits for "100 Continue".
  bool takeContinueWanted();

private:
  struct Parser;

  Outcome refuse(Refusal aRefusal);
  std::optional<Outcome> step();
  std::optional<Outcome> takeHead();
  std::optional<Outcome> checkPartialHead();
  Outcome finish(Millis aNow);
  Outcome parseFailure(int aError, std::string aMessage);

  Limits mLimits;
  std::string mInput;
  std::unique_ptr<Parser> mParser;
  bool mHeadChecked = false;
  bool mContinueWanted = false;
  bool mEnded = false;
  bool mNeedMore = false;
};

}

#endif

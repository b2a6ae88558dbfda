#ifndef RADISHROAD_LOG_HTTP_CALLER_H
#define RADISHROAD_LOG_HTTP_CALLER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace radishroad {

/// What came of one HTTP call.
struct HttpAnswer
{
  /// 0 if there is no whole answer.
  long mStatus = 0;
  std::string mBody;
  /// Nothing of the call can have been sent.
  bool mNeverSent = false;
  /// The time was up, or the caller was told to give up.
  bool mTimedOut = false;
  /// What went wrong without an answer.
  std::string mProblem;
  /// Value of the header that HttpCaller was told to look for.
  std::optional<std::string> mHeader;

  /// "status 503", or what went wrong.
  std::string describe() const;
};

/// Makes HTTP calls by libcurl, one at a time. Not thread-safe but for abort():
/// one for each thread.
class HttpCaller
{
public:
  struct Options
  {
    /// Larger answers count as failed.
    std::size_t mMaxBodyBytes = 16U << 20;
    std::string mContentType = "application/octet-stream";
    /// Response header that is kept; may be empty.
    std::string mWantedHeader;
  };

  explicit HttpCaller(Options aOptions);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /// Escapes a part of a path or query.
  std::string escape(std::string_view aText) const;
  HttpAnswer get(const std::string& aUrl, Millis aTimeout);
  /// On a connection of its own, as libcurl may send a request twice on one
  /// that was used before.
  HttpAnswer post(const std::string& aUrl,
                  std::span<const std::uint8_t> aData,
                  Millis aTimeout);
  /// Any thread. Ends the call under way, and each later one.
  void abort();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

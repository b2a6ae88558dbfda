#ifndef RADISHROAD_LOG_HTTP_CLIENT_H
#define RADISHROAD_LOG_HTTP_CLIENT_H

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

/// Result of one HTTP call.
struct HttpResponse
{
  /// 0 if no complete response was received. A success whose body ends with the
  /// connection is not complete.
  long mStatus = 0;
  std::string mBody;
  /// No part of the request can have been sent.
  bool mNeverSent = false;
  /// The timeout expired, or the call was aborted.
  bool mTimedOut = false;
  /// Error text if there was no complete response.
  std::string mError;
  /// Value of the response header named by Options::mCapturedHeader.
  std::optional<std::string> mHeader;

  /// Returns "status 503", for example, or the error text.
  std::string describe() const;
};

/// HTTP client based on libcurl; makes one call at a time. Not thread-safe
/// except for abort(); use one instance per thread.
class HttpClient
{
public:
  struct Options
  {
    /// Calls with a larger response body fail.
    std::size_t mMaxBodyBytes = 16U << 20;
    std::string mContentType = "application/octet-stream";
    /// Name of the response header to return in HttpResponse::mHeader; may be
    /// empty.
    std::string mCapturedHeader;
  };

  explicit HttpClient(Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Percent-encodes a part of a path or query.
  std::string escape(std::string_view aText) const;
  HttpResponse get(const std::string& aUrl, Millis aTimeout);
  /// Uses a new connection, as libcurl may send a request twice on a reused
  /// one.
  HttpResponse post(const std::string& aUrl,
                    std::span<const std::uint8_t> aData,
                    Millis aTimeout);
  /// Thread-safe. Ends the call in progress and each later one.
  void abort();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

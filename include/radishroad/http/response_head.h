#ifndef RADISHROAD_HTTP_RESPONSE_HEAD_H
#define RADISHROAD_HTTP_RESPONSE_HEAD_H

#include "radishroad/generated/peer_generated.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace radishroad {

/// Follows the lines of an HTTP/1.1 response before and after its body, and
/// decides whether the response is whole. Rejects what readers may understand
/// differently, such as two values of Content-Length.
class ResponseHead
{
public:
  /// How the end of the body is found.
  enum class Framing
  {
    /// The head has not ended yet.
    Unknown,
    /// The response has no body.
    NoBody,
    Length,
    Chunked,
    /// The body ends with the connection, so that a truncated body cannot be
    /// told from a whole one.
    ConnectionEnd,
  };

  static constexpr std::size_t kMaxBytes = 64U << 10;

  ResponseHead() = default;
  /// aIsHead: the response is to a HEAD request and has no body.
  explicit ResponseHead(bool aIsHead);

  /// Takes the next line, with its line end. Returns false if the response is
  /// malformed; error() then tells why.
  bool addLine(std::string_view aLine);

  /// The same for libcurl's CURLOPT_HEADERFUNCTION, with the ResponseHead as
  /// its data.
  static std::size_t addCurlLine(char* aData,
                                 std::size_t aSize,
                                 std::size_t aCount,
                                 void* aHead);

  /// The final head, which follows any interim ones, has ended.
  bool ended() const;
  Framing framing() const { return mFraming; }
  /// Of the body, with Framing::Length.
  std::uint64_t length() const { return mLength; }
  /// Whether aBodyBytes are the whole body, given that the peer has ended the
  /// response as its framing says.
  bool isWhole(std::uint64_t aBodyBytes) const;
  /// What is malformed; empty if nothing is.
  std::string_view error() const { return mError; }
  /// Size of all lines so far.
  std::size_t bytes() const { return mBytes; }
  /// Of the current head; 0 before its first line.
  int status() const { return mStatus; }
  /// Of the current head, without trailers.
  std::vector<wire::HeaderT>& headers() { return mHeaders; }
  const std::vector<wire::HeaderT>& headers() const { return mHeaders; }

private:
  bool reject(std::string_view aError);
  bool addStatusLine(std::string_view aLine);
  bool addField(std::string_view aLine);
  bool endHead();
  bool readFraming();

  bool mIsHead = false;
  bool mIsVersion10 = false;
  int mStatus = 0;
  std::vector<wire::HeaderT> mHeaders;
  Framing mFraming = Framing::Unknown;
  std::uint64_t mLength = 0;
  std::size_t mBytes = 0;
  std::string_view mError;
};

/// Name for logs, such as "length".
std::string_view
framingName(ResponseHead::Framing aFraming);

}

#endif

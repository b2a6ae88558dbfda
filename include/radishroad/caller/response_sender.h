#ifndef RADISHROAD_CALLER_RESPONSE_SENDER_H
#define RADISHROAD_CALLER_RESPONSE_SENDER_H

#include "radishroad/caller/response.h"

#include <cstddef>

namespace radishroad {

/// Writes responses to a non-blocking socket, one at a time. Does not own the
/// socket.
class ResponseSender
{
public:
  enum class Progress
  {
    /// All of the response has been written.
    Done,
    /// The socket accepts no more bytes for now.
    Blocked,
    /// The socket failed and can no longer be used.
    Broken,
  };

  explicit ResponseSender(int aSocket);

  void start(Response aResponse);
  /// Sends as much as the socket accepts.
  Progress flush();
  /// Number of bytes of the current response that have been sent.
  std::size_t sent() const { return mSent; }

private:
  bool isDone() const;

  const int mSocket;
  Response mResponse;
  std::size_t mSent = 0;
};

}

#endif

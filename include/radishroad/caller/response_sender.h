#ifndef RADISHROAD_CALLER_RESPONSE_SENDER_H
#define RADISHROAD_CALLER_RESPONSE_SENDER_H

#include "radishroad/caller/response.h"

#include <cstddef>

namespace radishroad {

/// Writes responses to a non-blocking socket, one at a time. Borrows the
/// socket.
class ResponseSender
{
public:
  enum class Progress
  {
    /// All of the response has been written.
    Done,
    /// The socket takes no more for now.
    Blocked,
    /// The socket is of no more use.
    Broken,
  };

  explicit ResponseSender(int aSocket);

  void start(Response aResponse);
  /// Sends what the socket takes.
  Progress flush();
  /// Bytes of the present response that have been written.
  std::size_t sent() const { return mSent; }

private:
  bool isDone() const;

  const int mSocket;
  Response mResponse;
  std::size_t mSent = 0;
};

}

#endif

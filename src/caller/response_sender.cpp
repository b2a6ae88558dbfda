#include "radishroad/caller/response_sender.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace radishroad {

ResponseSender::ResponseSender(int aSocket)
  : mSocket(aSocket)
{
}

void
ResponseSender::start(Response aResponse)
{
  mResponse = std::move(aResponse);
  mSent = 0;
}

bool
ResponseSender::isDone() const
{
  return mSent == mResponse.mHead.size() + mResponse.mBody.size();
}

ResponseSender::Progress
ResponseSender::flush()
{
  while (!isDone()) {
    std::string& head = mResponse.mHead;
    std::vector<std::uint8_t>& body = mResponse.mBody;
    const std::size_t headSent = std::min(mSent, head.size());
    const std::size_t bodySent = mSent - headSent;
    std::array<iovec, 2> parts{
      { { head.data() + headSent, head.size() - headSent },
        { body.data() + bodySent, body.size() - bodySent } }
    };
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t n = ::sendmsg(mSocket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      const bool canRetry =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      return canRetry ? Progress::Blocked : Progress::Broken;
    }
    mSent += static_cast<std::size_t>(n);
  }
  mResponse = {};
  mSent = 0;
  return Progress::Done;
}

}

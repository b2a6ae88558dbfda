#include "radishroad/caller/connection.h"

#include "radishroad/base/json_log.h"

#include <cerrno>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace radishroad {

void
CallerConnection::write(Response aResponse, bool aIsLast, Millis aNow)
{
  // Until the body is sent, the connection must not end in order, or the body
  // would look whole; not even if this process is killed.
  if (aResponse.mEndsWithConnection) {
    setResetOnClose(true);
  }
  mSender.start(std::move(aResponse));
  mOutputState = OutputState::Pending;
  mIsLastResponse = aIsLast;
  mOutputProgressAt = aNow;
  if (aIsLast) {
    mDiscardInput = true;
    dropQueue();
  }
  flush(aNow);
}

void
CallerConnection::flush(Millis aNow)
{
  const std::size_t before = mSender.sent();
  const ResponseSender::Progress progress = mSender.flush();
  if (progress == ResponseSender::Progress::Done) {
    finishOutput(aNow);
    return;
  }
  if (mSender.sent() > before) {
    mOutputProgressAt = aNow;
  }
  if (progress == ResponseSender::Progress::Broken) {
    abort();
    return;
  }
  mSetWriteInterest(true);
}

void
CallerConnection::finishOutput(Millis aNow)
{
  mPhaseStartedAt = aNow;
  if (mIsLastResponse) {
    shutDownOutput(aNow);
    return;
  }
  mOutputState = OutputState::None;
  readRequests(aNow);
  processQueue(aNow);
}

void
CallerConnection::onWritable(Millis aNow)
{
  if (mOutputState != OutputState::Pending) {
    return;
  }
  flush(aNow);
  if (mOutputState != OutputState::Pending) {
    mSetWriteInterest(false);
  }
  updateBusyCount();
}

void
CallerConnection::sendContinue()
{
  // The interim response is lost if the send buffer is full. Before the first
  // answer the buffer is not full, and a caller that gets no interim response
  // sends its body after a timeout anyway.
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  static_cast<void>(::send(
    mSocket, kContinue.data(), kContinue.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

void
CallerConnection::shutDownOutput(Millis aNow)
{
  // If the socket were closed immediately while the caller still sends, the
  // kernel would reset the connection and the caller could lose the answer.
  mOutputState = OutputState::Ended;
  mOutputProgressAt = aNow;
  mDiscardInput = true;
  dropQueue();
  if (mResetsOnClose) {
    setResetOnClose(false);
  }
  ::shutdown(mSocket, SHUT_WR);
}

void
CallerConnection::setResetOnClose(bool aReset)
{
  mResetsOnClose = aReset;
  const linger option{ aReset ? 1 : 0, 0 };
  if (::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option)) !=
      0) {
    logEvent(LogLevel::Warn,
             "caller_socket_option_failed",
             { { "option", "SO_LINGER" }, { "errno", errno } });
  }
}

void
CallerConnection::dropQueue()
{
  cancelRunningRequests();
  mQueue.clear();
}

void
CallerConnection::abort()
{
  // The transport reads the end of the stream and removes the connection.
  mDiscardInput = true;
  ::shutdown(mSocket, mResetsOnClose ? SHUT_RD : SHUT_RDWR);
}

}

#include "radishroad/caller/connection.h"

#include <sys/socket.h>

namespace radishroad {

void
CallerConnection::write(Response aResponse, bool aIsLast, Millis aNow)
{
  mSender.start(std::move(aResponse));
  mOutputState = OutputState::Pending;
  mIsLastResponse = aIsLast;
  mOutputProgressAt = aNow;
  if (aIsLast) {
    mDiscardInput = true;
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
  cancelRunningRequests();
  mQueue.clear();
  ::shutdown(mSocket, SHUT_WR);
}

void
CallerConnection::abort()
{
  // The transport reads the end of the stream and removes the connection.
  mDiscardInput = true;
  ::shutdown(mSocket, SHUT_RDWR);
}

}

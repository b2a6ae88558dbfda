#include "radishroad/caller/connection.h"

#include <sys/socket.h>

namespace radishroad {

void
CallerConnection::write(Response aResponse, bool aIsLast, Millis aNow)
{
  mSender.start(std::move(aResponse));
  mOutput = Output::Pending;
  mIsLastResponse = aIsLast;
  mOutputSince = aNow;
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
    mOutputSince = aNow;
  }
  if (progress == ResponseSender::Progress::Broken) {
    abort();
    return;
  }
  mWantWrite(true);
}

void
CallerConnection::finishOutput(Millis aNow)
{
  mPhaseSince = aNow;
  if (mIsLastResponse) {
    endSending(aNow);
    return;
  }
  mOutput = Output::None;
  readRequests(aNow);
  runNext(aNow);
}

void
CallerConnection::onWritable(Millis aNow)
{
  if (mOutput != Output::Pending) {
    return;
  }
  flush(aNow);
  if (mOutput != Output::Pending) {
    mWantWrite(false);
  }
  noteBusy();
}

void
CallerConnection::sendContinue()
{
  // Lost if the socket is full, which it is not before a first answer; the
  // caller then sends its body after a while all the same.
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  static_cast<void>(::send(
    mSocket, kContinue.data(), kContinue.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
}

void
CallerConnection::endSending(Millis aNow)
{
  // Closing at once would make the kernel reset the connection if the caller
  // still sends, and the caller could lose the answer.
  mOutput = Output::Ended;
  mOutputSince = aNow;
  mDiscardInput = true;
  cancelRuns();
  mQueue.clear();
  ::shutdown(mSocket, SHUT_WR);
}

void
CallerConnection::abort()
{
  // The transport sees the end of the stream and drops the connection.
  mDiscardInput = true;
  ::shutdown(mSocket, SHUT_RDWR);
}

}

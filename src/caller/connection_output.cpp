#include "radishroad/caller/connection.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/answer_queue.h"
#include "radishroad/caller/server_context.h"
#include "radishroad/request/body_stream.h"

#include <cerrno>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace radishroad {

namespace {

/// Of a streamed body, taken at a time.
constexpr std::size_t kMaxPartBytes = 64U << 10;

}

void
CallerConnection::write(Response aResponse, bool aIsLast, Millis aNow)
{
  // Until the body is sent, the connection must not end in order, or the body
  // would look whole; not even if this process is killed.
  if (aResponse.mEndsWithConnection) {
    setResetOnClose(true);
  }
  mStream = std::move(aResponse.mStream);
  mSender.start(std::move(aResponse));
  mOutputState = OutputState::Pending;
  mIsLastResponse = aIsLast;
  mOutputProgressAt = aNow;
  if (aIsLast) {
    mDiscardInput = true;
    dropQueue();
  }
  if (mStream) {
    // The queue counts and wakes up for bodies from any thread.
    mStreamSequence = mFrontSequence;
    mStream->setOnReady([queue = mAnswerQueue,
                         connection = weak_from_this(),
                         sequence = mStreamSequence] {
      queue->push({ connection, sequence, {}, {}, true });
    });
  }
  flush(aNow);
}

CallerConnection::NextPart
CallerConnection::startNextPart()
{
  if (!mStream) {
    return NextPart::None;
  }
  BodyStream::Part part = mStream->take(kMaxPartBytes);
  const bool isLast = part.mState != BodyStream::State::Open;
  if (part.mData.empty() && !isLast) {
    return NextPart::Awaited;
  }
  if (part.mData.empty()) {
    const bool isWhole = part.mState == BodyStream::State::Whole;
    mContext.mMetrics.count(
      std::string("radishroad_stream_caller_total{end=\"") +
      (isWhole ? "whole" : "broken") + "\"}");
    if (!isWhole) {
      return NextPart::Lost;
    }
    mStream = nullptr;
    return NextPart::None;
  }
  Response next;
  next.mBody = std::move(part.mData);
  next.mBodyShare = std::move(part.mShare);
  mSender.start(std::move(next));
  return NextPart::Started;
}

void
CallerConnection::onBodyReady(std::uint64_t aSequence, Millis aNow)
{
  const bool isCurrent = mStream && mStreamSequence == aSequence &&
                         mOutputState == OutputState::Pending;
  if (!isCurrent) {
    return;
  }
  flush(aNow);
  updateBusyCount();
}

void
CallerConnection::flush(Millis aNow)
{
  if (mIsBrokenOff) {
    return;
  }
  std::size_t before = mSender.sent();
  ResponseSender::Progress progress = mSender.flush();
  while (progress == ResponseSender::Progress::Done) {
    switch (startNextPart()) {
      case NextPart::Started:
        mOutputProgressAt = aNow;
        before = 0;
        progress = mSender.flush();
        break;
      case NextPart::Awaited:
        return;
      case NextPart::None:
        finishOutput(aNow);
        return;
      case NextPart::Lost:
        logEvent(LogLevel::Warn, "caller_response_broken_off", {});
        abort();
        return;
    }
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
  mIsBrokenOff = mIsBrokenOff || mStream != nullptr;
  mStream = nullptr;
  ::shutdown(mSocket, mResetsOnClose ? SHUT_RD : SHUT_RDWR);
}

}

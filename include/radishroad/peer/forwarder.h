#ifndef RADISHROAD_PEER_FORWARDER_H
#define RADISHROAD_PEER_FORWARDER_H

#include "radishroad/peer/channel.h"
#include "radishroad/peer/stream_receiver.h"
#include "radishroad/request/request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace radishroad {

/// Sends requests to one peer and completes each with exactly one answer, whose
/// body may follow as a stream. All members must be used on the transport's
/// thread.
class Forwarder
{
public:
  using Clock = boost::asio::steady_timer::clock_type;

  /// An encoded request and the callback for its answer.
  struct OutgoingRequest
  {
    RandomId mId;
    OutgoingFramePtr mFrame;
    AnswerFn mAnswerFn;
    Clock::time_point mDeadline;
  };

  Forwarder(boost::asio::io_context& aContext,
            const Channel::Options& aOptions);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void forward(OutgoingRequest aRequest);
  void cancel(RandomId aId);
  void checkLiveness(Millis aNow);
  void resetBackoff() { mChannel.resetBackoff(); }
  void stop();

private:
  struct Pending
  {
    explicit Pending(boost::asio::io_context& aContext)
      : mTimer(aContext)
    {
    }
    OutgoingFramePtr mFrame;
    AnswerFn mAnswerFn;
    boost::asio::steady_timer mTimer;
    /// Distinguishes this attempt's timer from that of another attempt with the
    /// same id.
    std::uint64_t mAttempt = 0;
    /// An earlier attempt of the same request is still unanswered on this
    /// connection.
    bool mEarlierAttemptUnanswered = false;
  };
  using PendingMap = std::unordered_map<RandomId, std::unique_ptr<Pending>>;

  void onFrame(wire::FrameBodyUnion aBody);
  void onSkipped(const ForwardedFrame& aFrame);
  void onAnswer(Answer aAnswer);
  void onDeadline(RandomId aId);
  void onDisconnected(const Error& aReason);
  void abandon(RandomId aId, NotRunReason aReason);
  void sendCancel(RandomId aId);
  StreamReceiver::Hooks streamHooks();
  /// Removes the request, so that nothing else can answer it.
  std::unique_ptr<Pending> removePending(RandomId aId);

  boost::asio::io_context& mContext;
  PendingMap mPending;
  std::uint64_t mLastAttempt = 0;
  /// Requests abandoned after their frame was written; their answers may still
  /// arrive on this connection.
  std::unordered_set<RandomId> mAbandoned;
  Channel mChannel;
  StreamReceiver mStreams;
};

}

#endif

#ifndef RADISHROAD_PEER_FORWARDER_H
#define RADISHROAD_PEER_FORWARDER_H

#include "radishroad/peer/channel.h"
#include "radishroad/request/request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace radishroad {

/// Requests sent to one peer, each ended with exactly one answer. All members
/// belong to the link's thread.
class Forwarder
{
public:
  using Clock = boost::asio::steady_timer::clock_type;

  /// An encoded request and whom to answer.
  struct Item
  {
    RandomId mId;
    OutgoingFramePtr mFrame;
    AnswerFn mAnswer;
    Clock::time_point mDeadline;
  };

  Forwarder(boost::asio::io_context& aContext, Channel::Options aOptions);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void forward(Item aItem);
  void cancel(RandomId aId);
  void checkLiveness(Millis aNow);
  void endBackOff() { mChannel.endBackOff(); }
  void stop();

private:
  struct Pending
  {
    explicit Pending(boost::asio::io_context& aContext)
      : mTimer(aContext)
    {
    }
    OutgoingFramePtr mFrame;
    AnswerFn mAnswer;
    boost::asio::steady_timer mTimer;
    /// Tells this attempt's timer from that of another of the same id.
    std::uint64_t mAttempt = 0;
    /// An earlier attempt of the same request is still unanswered here.
    bool mAmbiguous = false;
  };
  using PendingMap = std::unordered_map<RandomId, std::unique_ptr<Pending>>;

  void onFrame(wire::FrameBodyUnion aBody);
  void onAnswer(Answer aAnswer);
  void onDeadline(RandomId aId);
  void onDown();
  void giveUp(RandomId aId, NotRunReason aReason);
  void sendCancel(RandomId aId);
  /// Takes the request out, so that nothing else can answer it.
  std::unique_ptr<Pending> take(RandomId aId);

  boost::asio::io_context& mContext;
  PendingMap mPending;
  std::uint64_t mAttempts = 0;
  /// Requests given up after their frame had been handed over; their answers
  /// may still come on this connection.
  std::unordered_set<RandomId> mGivenUp;
  Channel mChannel;
};

}

#endif

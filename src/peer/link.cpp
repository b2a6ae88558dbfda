#include "radishroad/peer/link.h"

#include "radishroad/peer/channel.h"
#include "radishroad/peer/forwarder.h"
#include "radishroad/peer/receiver.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kLivenessInterval{ 250 };
/// Bytes of control frames queued for one peer before new ones are dropped.
constexpr std::size_t kMaxQueuedControlBytes = 8U << 20;
/// Bound on time left, one day, so that a deadline never overflows the clock.
constexpr Millis kMaxTimeLeft{ 86'400'000 };

}

struct PeerLink::Impl
{
  /// What any thread charges for a peer's queued frames.
  struct Budgets
  {
    std::shared_ptr<ByteBudget> mRequests;
    std::shared_ptr<ByteBudget> mControl;
  };

  /// The two connections to a peer; belongs to the link's thread.
  struct Peer
  {
    std::unique_ptr<Forwarder> mForwarder;
    std::unique_ptr<Channel> mControl;
  };

  Impl(Options aOptions, Hooks aHooks);

  Budgets budgetsOf(const std::string& aAddress);
  Peer& peerOf(const std::string& aAddress);
  void onHeard(const std::string& aAddress);
  Channel::Options channelOptions(const std::string& aAddress) const;
  template<typename Handler>
  bool post(Handler aHandler);
  void scheduleLivenessCheck();
  void shutDown();

  Options mOptions;
  Hooks mHooks;
  std::shared_ptr<asio::io_context> mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  asio::steady_timer mLivenessTimer;
  Receiver mReceiver;
  Connection::Options mConnectionOptions;
  std::unordered_map<std::string, Peer> mPeers;
  bool mStopping = false;
  std::thread mThread;

  std::mutex mMutex;
  /// Guarded by mMutex, as are posts: none follows that of shutDown().
  bool mRunning = false;
  std::unordered_map<std::string, Budgets> mBudgets;

  std::atomic<std::uint64_t> mControlBytesSent = 0;
  std::atomic<std::uint64_t> mControlBytesReceived = 0;
  std::atomic<std::uint64_t> mControlFramesSent = 0;
};

PeerLink::Impl::Impl(Options aOptions, Hooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mContext(std::make_shared<asio::io_context>(1))
  , mWork(mContext->get_executor())
  , mLivenessTimer(*mContext)
  , mReceiver(mContext,
              { [this](std::uint64_t aIncarnation,
                       wire::FrameBodyUnion aBody,
                       std::size_t aBytes) {
                 mControlBytesReceived += aBytes;
                 mHooks.mOnControl(aIncarnation, std::move(aBody));
               },
                mHooks.mOnRequest,
                mHooks.mOnCancel,
                mHooks.mOnClosed,
                [this](const std::string& aAddress) { onHeard(aAddress); } })
{
}

PeerLink::Impl::Budgets
PeerLink::Impl::budgetsOf(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(mMutex);
  Budgets& budgets = mBudgets[aAddress];
  if (!budgets.mRequests) {
    budgets.mRequests = std::make_shared<ByteBudget>(mOptions.mMaxQueuedBytes);
    budgets.mControl = std::make_shared<ByteBudget>(kMaxQueuedControlBytes);
  }
  return budgets;
}

Channel::Options
PeerLink::Impl::channelOptions(const std::string& aAddress) const
{
  Channel::Options options;
  options.mOwnAddress = mOptions.mListenAddress;
  options.mAddress = aAddress;
  options.mConnection = mConnectionOptions;
  options.mConnection.mConnecting = true;
  options.mConnectTimeout = mOptions.mConnectTimeout;
  return options;
}

PeerLink::Impl::Peer&
PeerLink::Impl::peerOf(const std::string& aAddress)
{
  Peer& peer = mPeers[aAddress];
  if (peer.mForwarder) {
    return peer;
  }
  peer.mForwarder =
    std::make_unique<Forwarder>(*mContext, channelOptions(aAddress));
  Channel::Hooks hooks;
  hooks.mOnFrame = [](const wire::FrameBodyUnion&, std::size_t) {};
  hooks.mOnSend = [this](const OutgoingFrame& aFrame) {
    mControlBytesSent += aFrame.size();
    ++mControlFramesSent;
  };
  hooks.mOnDown = [](const Error&) {};
  hooks.mIsAwaiting = [] { return false; };
  peer.mControl = std::make_unique<Channel>(
    *mContext, channelOptions(aAddress), std::move(hooks));
  return peer;
}

/// A peer that thaws is heard before its own connections are up again; what is
/// sent to it then must not be dropped for a back-off from before.
void
PeerLink::Impl::onHeard(const std::string& aAddress)
{
  const auto it = mPeers.find(aAddress);
  if (it != mPeers.end()) {
    it->second.mForwarder->endBackOff();
    it->second.mControl->endBackOff();
  }
}

template<typename Handler>
bool
PeerLink::Impl::post(Handler aHandler)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (!mRunning) {
    return false;
  }
  asio::post(*mContext, std::move(aHandler));
  return true;
}

void
PeerLink::Impl::scheduleLivenessCheck()
{
  mLivenessTimer.expires_after(kLivenessInterval);
  mLivenessTimer.async_wait([this](const boost::system::error_code& aCode) {
    // A handler already queued is not reached by the timer's cancel.
    if (aCode || mStopping) {
      return;
    }
    const Millis now = monotonicNow();
    for (auto& [address, peer] : mPeers) {
      peer.mForwarder->checkLiveness(now);
      peer.mControl->checkLiveness(now);
    }
    mReceiver.checkLiveness(now);
    scheduleLivenessCheck();
  });
}

void
PeerLink::Impl::shutDown()
{
  mStopping = true;
  mLivenessTimer.cancel();
  for (auto& [address, peer] : mPeers) {
    peer.mForwarder->stop();
    peer.mControl->close({ ErrorCode::Unavailable, "the link stops" });
  }
  mReceiver.stop();
  mWork.reset();
}

PeerLink::PeerLink(Options aOptions, Hooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aHooks)))
{
}

PeerLink::~PeerLink()
{
  stop();
}

Result<void>
PeerLink::start()
{
  Result<void> bound = mImpl->mReceiver.listen(mImpl->mOptions.mListenAddress);
  if (!bound) {
    return bound;
  }
  Connection::Options& options = mImpl->mConnectionOptions;
  options.mSelf.mIncarnation = mImpl->mOptions.mIncarnation;
  options.mSelf.mVm = mImpl->mOptions.mVm;
  options.mSelf.mPeerAddress = mImpl->mOptions.mAdvertisedAddress;
  if (options.mSelf.mPeerAddress.empty()) {
    options.mSelf.mPeerAddress = mImpl->mReceiver.address();
  }
  options.mMaxFrameBytes = mImpl->mOptions.mMaxFrameBytes;
  // The budgets refuse earlier; Cancel frames are outside of them.
  options.mMaxQueuedBytes = mImpl->mOptions.mMaxQueuedBytes * 2;
  mImpl->mReceiver.start(options);
  mImpl->scheduleLivenessCheck();
  mImpl->mRunning = true;
  mImpl->mThread = std::thread([impl = mImpl.get()] { impl->mContext->run(); });
  return {};
}

void
PeerLink::stop()
{
  if (!mImpl->mThread.joinable()) {
    return;
  }
  {
    std::lock_guard<std::mutex> lock(mImpl->mMutex);
    mImpl->mRunning = false;
    asio::post(*mImpl->mContext, [impl = mImpl.get()] { impl->shutDown(); });
  }
  mImpl->mThread.join();
}

void
PeerLink::forward(const std::string& aAddress,
                  ForwardRequest aRequest,
                  AnswerFn aAnswer)
{
  const RandomId id = idOf(aRequest);
  const Millis timeLeft =
    std::min(Millis{ aRequest.time_left_ms }, kMaxTimeLeft);
  const Forwarder::Clock::time_point deadline =
    Forwarder::Clock::now() + std::chrono::milliseconds(timeLeft.mCount);
  if (timeLeft <= Millis{}) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::DeadlinePassed));
    return;
  }
  const Impl::Budgets budgets = mImpl->budgetsOf(aAddress);
  // Spares the encoding of what would not fit.
  if (!budgets.mRequests->fits(aRequest.body.size())) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::QueueFull));
    return;
  }
  wire::FrameBodyUnion body;
  body.Set(std::move(aRequest));
  FrameBuffer buffer = encodeFrame(body);
  if (buffer.size() > mImpl->mOptions.mMaxFrameBytes) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::Malformed));
    return;
  }
  if (!budgets.mRequests->tryTake(buffer.size())) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::QueueFull));
    return;
  }
  // Shared with the handler, which is dropped unrun if the link has stopped.
  const std::shared_ptr<Forwarder::Item> item =
    std::make_shared<Forwarder::Item>();
  item->mId = id;
  item->mFrame =
    std::make_shared<OutgoingFrame>(std::move(buffer), budgets.mRequests);
  item->mAnswer = std::move(aAnswer);
  item->mDeadline = deadline;
  const bool posted = mImpl->post([impl = mImpl.get(), aAddress, item] {
    impl->peerOf(aAddress).mForwarder->forward(std::move(*item));
  });
  if (!posted) {
    item->mAnswer(makeNotRunAnswer(id, NotRunReason::Draining));
  }
}

void
PeerLink::cancel(const std::string& aAddress, RandomId aId)
{
  mImpl->post([impl = mImpl.get(), aAddress, aId] {
    impl->peerOf(aAddress).mForwarder->cancel(aId);
  });
}

void
PeerLink::sendControl(const std::string& aAddress,
                      std::uint64_t aIncarnation,
                      wire::FrameBodyUnion aBody)
{
  const wire::FrameBodyUnion body = std::move(aBody);
  FrameBuffer buffer = encodeFrame(body);
  const Impl::Budgets budgets = mImpl->budgetsOf(aAddress);
  if (buffer.size() > mImpl->mOptions.mMaxFrameBytes ||
      !budgets.mControl->tryTake(buffer.size())) {
    return;
  }
  OutgoingFramePtr frame =
    std::make_shared<OutgoingFrame>(std::move(buffer), budgets.mControl);
  frame->mRecipient = aIncarnation;
  mImpl->post([impl = mImpl.get(), aAddress, frame = std::move(frame)] {
    impl->peerOf(aAddress).mControl->send(frame);
  });
}

PeerLink::Traffic
PeerLink::traffic() const
{
  Traffic traffic;
  traffic.mControlBytesSent = mImpl->mControlBytesSent;
  traffic.mControlBytesReceived = mImpl->mControlBytesReceived;
  traffic.mControlFramesSent = mImpl->mControlFramesSent;
  return traffic;
}

std::string
PeerLink::listenAddress() const
{
  return mImpl->mReceiver.address();
}

}

#include "radishroad/peer/peer_transport.h"

#include "radishroad/peer/channel.h"
#include "radishroad/peer/forwarder.h"
#include "radishroad/peer/peer_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace radishroad {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kLivenessCheckInterval{ 250 };
/// How often waitAnswersSent() looks.
constexpr std::chrono::milliseconds kSentCheckInterval{ 10 };
/// Limit of the bytes queued for one peer's control frames; frames beyond it
/// are dropped.
constexpr std::size_t kMaxQueuedControlBytes = 8U << 20;
/// Limit of the time left (one day), so that computing the deadline cannot
/// overflow.
constexpr Millis kMaxTimeLeft{ 86'400'000 };

}

struct PeerTransport::Impl
{
  /// Limits of the bytes queued for a peer; may be used on any thread.
  struct Budgets
  {
    std::shared_ptr<ByteBudget> mRequests;
    std::shared_ptr<ByteBudget> mControl;
  };

  /// The two connections to a peer; used on the transport's thread only.
  struct Peer
  {
    std::unique_ptr<Forwarder> mForwarder;
    std::unique_ptr<Channel> mControl;
  };

  Impl(Options aOptions, Hooks aHooks);

  Budgets budgetsFor(const std::string& aAddress);
  Peer& getOrCreatePeer(const std::string& aAddress);
  void onPeerActivity(const std::string& aAddress);
  Channel::Options channelOptions(const std::string& aAddress) const;
  template<typename Handler>
  bool post(Handler aHandler);
  void scheduleLivenessCheck();
  void shutDown();

  Options mOptions;
  Hooks mHooks;
  std::shared_ptr<asio::io_context> mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  asio::steady_timer mLivenessTimer;
  PeerServer mServer;
  Connection::Options mConnectionOptions;
  std::unordered_map<std::string, Peer> mPeers;
  bool mStopping = false;
  std::thread mThread;

  std::mutex mMutex;
  /// Guarded by mMutex. Posts also hold it, so that nothing is posted after
  /// shutDown().
  bool mRunning = false;
  std::unordered_map<std::string, Budgets> mBudgets;

  std::atomic<std::uint64_t> mControlBytesSent = 0;
  std::atomic<std::uint64_t> mControlBytesReceived = 0;
  std::atomic<std::uint64_t> mControlFramesSent = 0;
  const std::shared_ptr<SendTotals> mAnswerTotals =
    std::make_shared<SendTotals>();
};

PeerTransport::Impl::Impl(Options aOptions, Hooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mContext(std::make_shared<asio::io_context>(1))
  , mWorkGuard(mContext->get_executor())
  , mLivenessTimer(*mContext)
  , mServer(
      mContext,
      { [this](std::uint64_t aIncarnation,
               wire::FrameBodyUnion aBody,
               std::size_t aBytes) {
         mControlBytesReceived += aBytes;
         mHooks.mOnControl(aIncarnation, std::move(aBody));
       },
        mHooks.mOnRequest,
        mHooks.mOnCancel,
        mHooks.mOnClosed,
        [this](const std::string& aAddress) { onPeerActivity(aAddress); } })
{
}

PeerTransport::Impl::Budgets
PeerTransport::Impl::budgetsFor(const std::string& aAddress)
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
PeerTransport::Impl::channelOptions(const std::string& aAddress) const
{
  Channel::Options options;
  options.mLocalAddress = mOptions.mListenAddress;
  options.mAddress = aAddress;
  options.mConnectionOptions = mConnectionOptions;
  options.mConnectionOptions.mIsInitiator = true;
  options.mConnectTimeout = mOptions.mConnectTimeout;
  return options;
}

PeerTransport::Impl::Peer&
PeerTransport::Impl::getOrCreatePeer(const std::string& aAddress)
{
  Peer& peer = mPeers[aAddress];
  if (peer.mForwarder) {
    return peer;
  }
  peer.mForwarder =
    std::make_unique<Forwarder>(*mContext, channelOptions(aAddress));
  Channel::Hooks hooks;
  hooks.mOnFrame = [](const wire::FrameBodyUnion&, std::size_t) {};
  hooks.mOnSkipped = [](const ForwardedFrame&) {};
  hooks.mOnSend = [this](const OutgoingFrame& aFrame) {
    mControlBytesSent += aFrame.size();
    ++mControlFramesSent;
  };
  hooks.mOnDisconnected = [](const Error&) {};
  hooks.mIsAwaitingPeer = [] { return false; };
  peer.mControl = std::make_unique<Channel>(
    *mContext, channelOptions(aAddress), std::move(hooks));
  return peer;
}

/// A peer that resumes after a freeze sends frames before this daemon has
/// reconnected to it. Frames for it must not be dropped because of an earlier
/// backoff.
void
PeerTransport::Impl::onPeerActivity(const std::string& aAddress)
{
  const auto it = mPeers.find(aAddress);
  if (it != mPeers.end()) {
    it->second.mForwarder->resetBackoff();
    it->second.mControl->resetBackoff();
  }
}

template<typename Handler>
bool
PeerTransport::Impl::post(Handler aHandler)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (!mRunning) {
    return false;
  }
  asio::post(*mContext, std::move(aHandler));
  return true;
}

void
PeerTransport::Impl::scheduleLivenessCheck()
{
  mLivenessTimer.expires_after(kLivenessCheckInterval);
  mLivenessTimer.async_wait([this](const boost::system::error_code& aCode) {
    // Cancelling the timer does not remove a callback that is already queued.
    if (aCode || mStopping) {
      return;
    }
    const Millis now = monotonicNow();
    for (auto& [address, peer] : mPeers) {
      peer.mForwarder->checkLiveness(now);
      peer.mControl->checkLiveness(now);
    }
    mServer.checkLiveness(now);
    scheduleLivenessCheck();
  });
}

void
PeerTransport::Impl::shutDown()
{
  mStopping = true;
  mLivenessTimer.cancel();
  for (auto& [address, peer] : mPeers) {
    peer.mForwarder->stop();
    peer.mControl->close(
      { ErrorCode::Unavailable, "peer transport is stopping" });
  }
  mServer.stop();
  mWorkGuard.reset();
}

PeerTransport::PeerTransport(Options aOptions, Hooks aHooks)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aHooks)))
{
}

PeerTransport::~PeerTransport()
{
  stop();
}

Result<void>
PeerTransport::start()
{
  Result<void> bound = mImpl->mServer.listen(mImpl->mOptions.mListenAddress);
  if (!bound) {
    return bound;
  }
  Connection::Options& options = mImpl->mConnectionOptions;
  options.mLocalIdentity.mIncarnation = mImpl->mOptions.mIncarnation;
  options.mLocalIdentity.mVm = mImpl->mOptions.mVm;
  options.mLocalIdentity.mPeerAddress = mImpl->mOptions.mAdvertisedAddress;
  if (options.mLocalIdentity.mPeerAddress.empty()) {
    options.mLocalIdentity.mPeerAddress = mImpl->mServer.address();
  }
  options.mMaxFrameBytes = mImpl->mOptions.mMaxFrameBytes;
  options.mBodyMemory = mImpl->mOptions.mBodyMemory;
  // Above the budgets, which refuse frames first; Cancel frames do not count
  // against the budgets.
  options.mMaxQueuedBytes = mImpl->mOptions.mMaxQueuedBytes * 2;
  options.mSmallFirst = mImpl->mOptions.mSmallFirst;
  Connection::Options serverOptions = options;
  serverOptions.mTotals = mImpl->mAnswerTotals;
  mImpl->mServer.start(std::move(serverOptions));
  mImpl->scheduleLivenessCheck();
  mImpl->mRunning = true;
  mImpl->mThread = std::thread([impl = mImpl.get()] { impl->mContext->run(); });
  return {};
}

void
PeerTransport::stop()
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
PeerTransport::forward(const std::string& aAddress,
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
  const Impl::Budgets budgets = mImpl->budgetsFor(aAddress);
  // Avoids encoding a request that would not fit.
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
  BodyShare bodyShare(mImpl->mOptions.mBodyMemory);
  if (!bodyShare.tryResize(buffer.size()) ||
      !budgets.mRequests->tryReserve(buffer.size())) {
    aAnswer(makeNotRunAnswer(id, NotRunReason::QueueFull));
    return;
  }
  // Shared with the posted callback, which is destroyed without running if the
  // transport has stopped.
  const std::shared_ptr<Forwarder::OutgoingRequest> request =
    std::make_shared<Forwarder::OutgoingRequest>();
  request->mId = id;
  request->mFrame =
    std::make_shared<OutgoingFrame>(std::move(buffer), budgets.mRequests);
  request->mFrame->mBodyShare = std::move(bodyShare);
  request->mAnswerFn = std::move(aAnswer);
  request->mDeadline = deadline;
  const bool posted = mImpl->post([impl = mImpl.get(), aAddress, request] {
    impl->getOrCreatePeer(aAddress).mForwarder->forward(std::move(*request));
  });
  if (!posted) {
    request->mAnswerFn(makeNotRunAnswer(id, NotRunReason::Draining));
  }
}

void
PeerTransport::cancel(const std::string& aAddress, RandomId aId)
{
  mImpl->post([impl = mImpl.get(), aAddress, aId] {
    impl->getOrCreatePeer(aAddress).mForwarder->cancel(aId);
  });
}

void
PeerTransport::sendControl(const std::string& aAddress,
                           std::uint64_t aIncarnation,
                           wire::FrameBodyUnion aBody)
{
  const wire::FrameBodyUnion body = std::move(aBody);
  FrameBuffer buffer = encodeFrame(body);
  const Impl::Budgets budgets = mImpl->budgetsFor(aAddress);
  if (buffer.size() > mImpl->mOptions.mMaxFrameBytes ||
      !budgets.mControl->tryReserve(buffer.size())) {
    return;
  }
  OutgoingFramePtr frame =
    std::make_shared<OutgoingFrame>(std::move(buffer), budgets.mControl);
  frame->mRecipientIncarnation = aIncarnation;
  mImpl->post([impl = mImpl.get(), aAddress, frame = std::move(frame)] {
    impl->getOrCreatePeer(aAddress).mControl->send(frame);
  });
}

void
PeerTransport::sendControlToAll(std::span<const std::string> aAddresses,
                                const wire::FrameBodyUnion& aBody)
{
  const auto buffer = std::make_shared<const FrameBuffer>(encodeFrame(aBody));
  if (buffer->size() > mImpl->mOptions.mMaxFrameBytes) {
    return;
  }
  using Target = std::pair<std::string, OutgoingFramePtr>;
  std::vector<Target> targets;
  for (const std::string& address : aAddresses) {
    const Impl::Budgets budgets = mImpl->budgetsFor(address);
    if (budgets.mControl->tryReserve(buffer->size())) {
      targets.emplace_back(
        address, std::make_shared<OutgoingFrame>(buffer, budgets.mControl));
    }
  }
  mImpl->post([impl = mImpl.get(), targets = std::move(targets)] {
    for (const Target& target : targets) {
      impl->getOrCreatePeer(target.first).mControl->send(target.second);
    }
  });
}

bool
PeerTransport::waitAnswersSent(Millis aUntil)
{
  if (!mImpl->mThread.joinable()) {
    return true;
  }
  while (true) {
    // Posted after the answers that were given before.
    const std::shared_ptr<std::promise<bool>> sent =
      std::make_shared<std::promise<bool>>();
    std::future<bool> result = sent->get_future();
    mImpl->post([impl = mImpl.get(), sent] {
      sent->set_value(impl->mServer.areAnswersSent());
    });
    const std::chrono::milliseconds left(
      std::max(Millis{}, aUntil - monotonicNow()).mCount);
    if (result.wait_for(left) != std::future_status::ready) {
      return false;
    }
    if (result.get()) {
      return true;
    }
    if (monotonicNow() >= aUntil) {
      return false;
    }
    std::this_thread::sleep_for(kSentCheckInterval);
  }
}

PeerTransport::Traffic
PeerTransport::traffic() const
{
  Traffic traffic;
  traffic.mControlBytesSent = mImpl->mControlBytesSent;
  traffic.mControlBytesReceived = mImpl->mControlBytesReceived;
  traffic.mControlFramesSent = mImpl->mControlFramesSent;
  // Read first, so that no more appears written than queued.
  traffic.mAnswerBytesWritten = mImpl->mAnswerTotals->mWritten;
  traffic.mAnswerBytesQueued = mImpl->mAnswerTotals->mQueued;
  return traffic;
}

std::string
PeerTransport::listenAddress() const
{
  return mImpl->mServer.address();
}

}

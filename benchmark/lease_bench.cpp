// Measures the cost of leases and of the peer link on loopback, with all
// daemons in one process.
// Usage: lease_bench [SECONDS]
#include "radishroad/ownership/expulsion_controller.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/peer/peer_transport.h"
#include "radishroad/state/cell_state.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <sys/resource.h>
#include <thread>

using namespace radishroad;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kBodyBytes = 1024;
constexpr double kMicrosPerSecond = 1e6;

double
cpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double
secondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

/// The lease protocol of one daemon over a real link.
class LeaseDaemon
{
public:
  explicit LeaseDaemon(Incarnation aSelf)
    : mSelf(aSelf)
    , mHolder(aSelf)
    , mExpulsionController(aSelf)
  {
    PeerTransport::Options options;
    options.mListenAddress = "127.0.0.1:0";
    options.mIncarnation = aSelf;
    options.mVm = "vm-" + std::to_string(aSelf);
    PeerTransport::Hooks hooks;
    hooks.mOnControl = [this](std::uint64_t aFrom, wire::FrameBodyUnion aBody) {
      onControl(aFrom, std::move(aBody));
    };
    hooks.mOnRequest = [](const ForwardRequest&, const AnswerFn&) {};
    hooks.mOnCancel = [](RandomId) {};
    mTransport =
      std::make_unique<PeerTransport>(std::move(options), std::move(hooks));
    mStarted = mTransport->start().has_value();
  }
  ~LeaseDaemon() { mTransport->stop(); }
  LeaseDaemon(const LeaseDaemon&) = delete;
  LeaseDaemon& operator=(const LeaseDaemon&) = delete;

  void setCellState(const CellState& aState)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mState = aState;
    mExpulsionController.onState(mState, monotonicNow());
    mHolder.adopt(0, mState.mMembers.at(mSelf).mWitnesses);
  }
  void renew()
  {
    std::vector<LeaseHolder::Renewal> renewals;
    const Millis now = monotonicNow();
    {
      std::lock_guard<std::mutex> lock(mMutex);
      renewals = mHolder.renewals(now);
    }
    for (const LeaseHolder::Renewal& renewal : renewals) {
      wire::RenewT renew;
      renew.incarnation = mSelf;
      renew.version = renewal.mVersion;
      renew.sent_ms = now.mCount;
      renew.heard_sent_ms = renewal.mAckedSentAt.mCount;
      wire::FrameBodyUnion body;
      body.Set(renew);
      send(renewal.mWitness, std::move(body));
    }
  }
  bool holds()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mHolder.holds(monotonicNow());
  }

  bool mStarted = false;
  std::unique_ptr<PeerTransport> mTransport;

private:
  static std::unique_ptr<wire::StreamPositionT> makePosition()
  {
    std::unique_ptr<wire::StreamPositionT> streamPosition =
      std::make_unique<wire::StreamPositionT>();
    streamPosition->stream = "cell-catalog";
    streamPosition->next_offset = 12345;
    return streamPosition;
  }
  void onControl(std::uint64_t aFrom, wire::FrameBodyUnion aBody)
  {
    const Millis now = monotonicNow();
    if (const wire::PromiseT* promise = aBody.AsPromise()) {
      std::lock_guard<std::mutex> lock(mMutex);
      mHolder.onPromise(
        aFrom, promise->version, Millis{ promise->sent_ms }, now);
      return;
    }
    const wire::RenewT* renew = aBody.AsRenew();
    if (renew == nullptr || !grantsPromise(*renew, now)) {
      return;
    }
    wire::PromiseT promise;
    promise.witness = mSelf;
    promise.incarnation = renew->incarnation;
    promise.version = renew->version;
    promise.sent_ms = renew->sent_ms;
    promise.positions.push_back(makePosition());
    wire::FrameBodyUnion body;
    body.Set(std::move(promise));
    send(aFrom, std::move(body));
  }
  bool grantsPromise(const wire::RenewT& aRenew, Millis aNow)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    const ReceivedRenewal renewal{ { aRenew.incarnation, aRenew.version },
                                   Millis{ aRenew.sent_ms },
                                   Millis{ aRenew.heard_sent_ms } };
    return mExpulsionController.onRenew(renewal, aNow) ==
           RenewalAnswer::Promised;
  }
  void send(Incarnation aTo, wire::FrameBodyUnion aBody)
  {
    std::string address;
    {
      std::lock_guard<std::mutex> lock(mMutex);
      address = mState.mMembers.at(aTo).mPeerAddress;
    }
    mTransport->sendControl(address, aTo, std::move(aBody));
  }

  Incarnation mSelf;
  std::mutex mMutex;
  CellState mState;
  LeaseHolder mHolder;
  ExpulsionController mExpulsionController;
};

using Daemons = std::vector<std::unique_ptr<LeaseDaemon>>;

CellState
makeCellState(const Daemons& aDaemons, std::size_t aWitnesses)
{
  CellState state;
  const std::size_t n = aDaemons.size();
  for (std::size_t at = 0; at < n; ++at) {
    Member member;
    member.mIncarnation = at + 1;
    member.mPeerAddress = aDaemons[at]->mTransport->listenAddress();
    for (std::size_t next = 1; next <= aWitnesses; ++next) {
      member.mWitnesses.push_back((at + next) % n + 1);
    }
    state.mMembers.emplace(member.mIncarnation, member);
  }
  return state;
}

void
renewLeases(const Daemons& aDaemons, double aSeconds)
{
  const Clock::time_point start = Clock::now();
  while (secondsSince(start) < aSeconds) {
    for (const std::unique_ptr<LeaseDaemon>& daemon : aDaemons) {
      daemon->renew();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

struct ControlTraffic
{
  std::uint64_t mBytes = 0;
  std::uint64_t mFrames = 0;
};

ControlTraffic
totalTraffic(const Daemons& aDaemons)
{
  ControlTraffic total;
  for (const std::unique_ptr<LeaseDaemon>& daemon : aDaemons) {
    const PeerTransport::Traffic traffic = daemon->mTransport->traffic();
    total.mBytes += traffic.mControlBytesSent;
    total.mFrames += traffic.mControlFramesSent;
  }
  return total;
}

void
measureLeases(std::size_t aDaemons, std::size_t aWitnesses, double aSeconds)
{
  Daemons daemons;
  for (std::size_t n = 1; n <= aDaemons; ++n) {
    daemons.push_back(std::make_unique<LeaseDaemon>(n));
  }
  const CellState state = makeCellState(daemons, aWitnesses);
  for (const std::unique_ptr<LeaseDaemon>& daemon : daemons) {
    daemon->setCellState(state);
  }
  renewLeases(daemons, 1);
  const ControlTraffic before = totalTraffic(daemons);
  const double cpuBefore = cpuSeconds();
  const Clock::time_point start = Clock::now();
  renewLeases(daemons, aSeconds);
  const double elapsed = secondsSince(start);
  const double cpu = cpuSeconds() - cpuBefore;
  const ControlTraffic after = totalTraffic(daemons);
  const double frames = static_cast<double>(after.mFrames - before.mFrames);
  const double bytes = static_cast<double>(after.mBytes - before.mBytes);
  const double perDaemon = elapsed * static_cast<double>(aDaemons);
  const auto held = std::ranges::count_if(
    daemons, [](const auto& aOne) { return aOne->holds(); });
  std::cout << "leases: daemons " << aDaemons << ", witnesses " << aWitnesses
            << ", held " << held << ", frames/s sent by each "
            << frames / perDaemon << ", bytes/s sent by each "
            << bytes / perDaemon << ", bytes a frame " << bytes / frames
            << ", CPU us a round (renewal and promise) "
            << cpu * kMicrosPerSecond / (frames / 2)
            << ", CPU share of one core for each " << 100 * cpu / perDaemon
            << " %\n";
}

/// Sends requests over a link and keeps a constant number of them in flight.
class ClosedLoopLoad
{
public:
  ClosedLoopLoad(PeerTransport& aTransport,
                 std::string aOwnerAddress,
                 std::size_t aTotal)
    : mTransport(aTransport)
    , mOwnerAddress(std::move(aOwnerAddress))
    , mTotal(aTotal)
  {
    mLatencies.reserve(aTotal);
  }

  void run(std::size_t aInFlight)
  {
    const Clock::time_point start = Clock::now();
    const double cpuBefore = cpuSeconds();
    for (std::size_t n = 0; n < aInFlight; ++n) {
      sendNext();
    }
    {
      std::unique_lock<std::mutex> lock(mMutex);
      mDone.wait(lock, [this] { return mLatencies.size() == mTotal; });
    }
    const double elapsed = secondsSince(start);
    const double cpu = cpuSeconds() - cpuBefore;
    std::ranges::sort(mLatencies);
    std::cout << "link: body " << kBodyBytes << ", in flight " << aInFlight
              << ", requests/s " << static_cast<double>(mTotal) / elapsed
              << ", p50 us " << mLatencies[mTotal / 2] << ", p99 us "
              << mLatencies[mTotal * 99 / 100] << ", CPU us a request "
              << cpu * kMicrosPerSecond / static_cast<double>(mTotal)
              << ", failed " << mFailed << "\n";
  }

private:
  void sendNext()
  {
    const std::size_t number = mSent++;
    if (number >= mTotal) {
      return;
    }
    ForwardRequest request;
    request.id_low = number + 1;
    request.time_left_ms = 10'000;
    request.method = "POST";
    request.target = "/orders";
    request.body.resize(kBodyBytes);
    const Clock::time_point start = Clock::now();
    mTransport.forward(
      mOwnerAddress, std::move(request), [this, start](const Answer& aAnswer) {
        const double taken = secondsSince(start) * kMicrosPerSecond;
        sendNext();
        std::lock_guard<std::mutex> lock(mMutex);
        mLatencies.push_back(taken);
        mFailed += aAnswer.kind == AnswerKind::Answered ? 0 : 1;
        mDone.notify_one();
      });
  }

  PeerTransport& mTransport;
  std::string mOwnerAddress;
  std::size_t mTotal;
  std::atomic<std::size_t> mSent = 0;
  std::mutex mMutex;
  std::condition_variable mDone;
  std::vector<double> mLatencies;
  std::size_t mFailed = 0;
};

PeerTransport::Hooks
answeringHooks()
{
  PeerTransport::Hooks hooks;
  hooks.mOnControl = [](std::uint64_t, const wire::FrameBodyUnion&) {};
  hooks.mOnRequest = [](ForwardRequest aRequest, const AnswerFn& aAnswer) {
    Answer answer;
    answer.status = 200;
    answer.body = std::move(aRequest.body);
    aAnswer(std::move(answer));
  };
  hooks.mOnCancel = [](RandomId) {};
  return hooks;
}

void
measureRequests(std::size_t aInFlight, std::size_t aTotal)
{
  PeerTransport::Options options;
  options.mListenAddress = "127.0.0.1:0";
  options.mIncarnation = 1;
  PeerTransport caller(options, answeringHooks());
  options.mIncarnation = 2;
  PeerTransport owner(options, answeringHooks());
  if (!caller.start() || !owner.start()) {
    std::cerr << "cannot listen on loopback\n";
    return;
  }
  ClosedLoopLoad(caller, owner.listenAddress(), aTotal / 10).run(aInFlight);
  ClosedLoopLoad(caller, owner.listenAddress(), aTotal).run(aInFlight);
}

}

int
main(int aCount, char** aArguments)
{
  const double seconds = aCount > 1 ? std::strtod(aArguments[1], nullptr) : 5;
  for (const std::size_t witnesses : { 3U, 5U }) {
    for (const std::size_t daemons : { 8U, 16U, 32U }) {
      measureLeases(daemons, witnesses, seconds);
    }
  }
  measureRequests(1, 20'000);
  measureRequests(16, 100'000);
  measureRequests(128, 200'000);
  return 0;
}

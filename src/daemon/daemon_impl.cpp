#include "daemon_impl.h"

#include "radishroad/base/json_log.h"
#include "radishroad/ownership/handoff.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::size_t kControlQueueCapacity = 8192;
/// Used while requests may wait for tokens, or shards for their hand-off.
constexpr Millis kBusyTickInterval{ 20 };
/// A quarter of the lease renewal interval, rounded up.
constexpr Millis kIdleTickInterval{ 65 };
constexpr std::size_t kAppendQueueCapacity = 256;
/// Time for which the appender retries an append before it reports a failure.
constexpr Millis kAppendTimeout{ 2000 };
/// Shorter than a request's deadline, so that requests paused during the probe
/// can still be answered in time.
constexpr Millis kProbeTimeout{ 1000 };
/// A store that accepted a write this recently is not probed before a hand-off:
/// outages last longer, and the write of the hand-off itself would fail.
constexpr Millis kStoreFreshness{ 1000 };
/// The configuration counts as current if the log was read this recently.
constexpr Millis kConfigFreshness{ 5000 };
/// Percentage of an upstream's drain time after which no more requests are sent
/// to it, so that those in transit still arrive in time.
constexpr std::int64_t kDrainPercent = 75;

Millis
drainPeriod(const DaemonSettings& aSettings)
{
  return aSettings.drainTime() * kDrainPercent / 100;
}

}

Daemon::Impl::Impl(const DaemonSettings& aSettings,
                   RetryPolicy& aRetryPolicy,
                   Millis aJoinDelay,
                   DaemonHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mProtocol(mHooks.mMakeProtocol(mSettings))
  , mBodyMemory(std::make_shared<BodyMemory>(mSettings.bodyMemoryBytes()))
  , mSelf(makeIncarnation())
  , mAuthority(mViews, mSettings.mService, mSettings.mZone, mSelf)
  , mRetryPolicy(aRetryPolicy)
  , mLoop(kControlQueueCapacity)
  , mFleet(mSettings.mService, mViews, fleetHooks())
  , mProposer([this](const std::string& aStream,
                     const wire::RecordT& aRecord,
                     std::function<void(Result<std::uint64_t>)> aResult) {
    return submitAppend(aStream, aRecord, std::move(aResult));
  })
  , mGate(std::make_unique<Gate>(
      Gate::Options{ .mUpstream = mSettings.mUpstreamAddress,
                     .mBodyMemory = mBodyMemory,
                     .mProtocol = mProtocol.mUpstream,
                     .mDrainPeriod = drainPeriod(mSettings),
                     .mLinkBytesPerSecond = mSettings.linkBytesPerSecond() },
      gateHooks(),
      mMetrics))
  , mPeerTransport(std::make_unique<PeerTransport>(
      PeerTransport::Options{ .mListenAddress = mSettings.mPeerAddress,
                              .mIncarnation = mSelf,
                              .mVm = mSettings.mVm,
                              .mBodyMemory = mBodyMemory,
                              .mSmallFirst =
                                mSettings.linkBytesPerSecond() > 0 },
      peerTransportHooks()))
  , mContext{ mSelf,
              mSettings,
              mFleet,
              mProposer,
              [this](Incarnation aTo, wire::FrameBodyUnion aBody) {
                sendControl(aTo, std::move(aBody));
              },
              monotonicNow,
              [this] { return mLease.suspects(); },
              [this] { return mConfigFreshness.asOf(); } }
  , mMembership(mContext, monotonicNow() + aJoinDelay)
  , mLease(
      mContext,
      [this](Millis aUntil) {
        mLeaseLog.onLease(aUntil, monotonicNow());
        mAuthority.setLeaseUntil(mHooks.mServeUntil(aUntil));
      },
      [this](Incarnation aFrom,
             const LeaseManager::Positions& aPositions,
             std::optional<Millis> aAskedAt) {
        mRelay.onPositions(aFrom, aPositions);
        confirmOperatorPosition(aPositions, aAskedAt);
      })
  , mHandoff(mContext, handoffHooks())
  , mCoordinator(mContext,
                 { .mShards =
                     [this](std::span<const wire::ShardGrant> aGrants) {
                       mHandoff.orderShardMoves(aGrants);
                     },
                   .mKeys =
                     [this](std::span<const wire::SplitKeyT> aKeys) {
                       mHandoff.orderKeyMoves(aKeys);
                     } })
  , mRateLimiter(mContext, mAuthority)
  , mRelay(
      mContext,
      [this](const std::string& aStream, std::span<const LogRecord> aRecords) {
        if (mProtocol.isPlatform()) {
          onRelayedState(aStream, aRecords);
          return;
        }
        mFleet.onRecords(aStream, aRecords);
        mFollowers.at(aStream)->skipTo(mFleet.nextOffset(aStream));
      })
  , mSnapshots(mContext,
               [this](const std::string& aStream) {
                 return mFollowers.at(aStream)->oldestOffset();
               })
  , mIngress(mSelf, mViews, mTimer, mMetrics, ingressHooks())
  , mCallerServer(
      { .mListenAddress = mSettings.mCallerAddress,
        .mThreads = mSettings.callerThreads(),
        .mBodyMemory = mBodyMemory,
        .mFractionalRetryAfter = mProtocol.isPlatform(),
        .mRestrictStatuses = mProtocol.isPlatform(),
        .mMayRunConcurrently =
          [this](const CallerRequest& aRequest) {
            return mIngress.mayRunConcurrently(aRequest);
          },
        .mMayEndConnection =
          [this](const CallerRequest& aRequest) {
            return mIngress.mayEndConnection(aRequest);
          } },
      [this](CallerRequest aRequest, AnswerFn aAnswer) {
        return mIngress.handle(std::move(aRequest), std::move(aAnswer));
      },
      mMetrics)
  , mAdmin(mSettings.mOperatorAddress,
           { .mReady = [this] { return ready(); },
             .mState = [this] { return describe(); } },
           mMetrics)
{
  if (mProtocol.isPlatform()) {
    makePlatformServers();
  } else {
    mAppender = std::make_unique<LogAppender>(mSettings.mLogAddress,
                                              kAppendQueueCapacity);
  }
}

Result<void>
Daemon::Impl::start()
{
  Result<void> transportStarted = mPeerTransport->start();
  if (!transportStarted) {
    return transportStarted;
  }
  Result<void> admin = mAdmin.start();
  if (!admin) {
    return admin;
  }
  mLoop.start([this] { return tick(); });
  mLoop.post([this] {
    if (mProtocol.isPlatform()) {
      followOperators();
      startConfigCheck();
      followStates(cellStream(mSettings.mService));
      return;
    }
    followLog(std::string(kConfigStream));
    followLog(cellStream(mSettings.mService));
  });
  mGate->start();
  for (CallerServer* server : { mReportServer.get(), mReadinessServer.get() }) {
    Result<void> started = server ? server->start() : Result<void>{};
    if (!started) {
      return started;
    }
  }
  return mCallerServer.start();
}

void
Daemon::Impl::beginStop(const StopSchedule& aSchedule)
{
  mIngress.beginStop(aSchedule);
  mGate->beginStop(aSchedule);
}

void
Daemon::Impl::stop(Millis aUntil)
{
  mCallerServer.stop();
  for (CallerServer* server : { mReportServer.get(), mReadinessServer.get() }) {
    if (server != nullptr) {
      server->stop();
    }
  }
  mAdmin.stop();
  mGate->stop(aUntil);
  // Followers post to the loop, and the loop adds followers. Once the loop has
  // stopped, blocked posts return and no follower is added.
  mLoop.stop();
  for (const auto& [stream, follower] : mFollowers) {
    follower->stop();
  }
  for (const auto& [stream, feed] : mPollLoops) {
    feed->stop();
  }
  if (mConfigCheck) {
    mConfigCheck->stop();
  }
  if (!mPeerTransport->waitAnswersSent(aUntil)) {
    logEvent(LogLevel::Warn, "peer_answers_cut", nlohmann::json::object());
  }
  mPeerTransport->stop();
  if (mAppender) {
    mAppender->stop();
  }
  if (mWriter) {
    mWriter->stop();
  }
  mTimer.stop();
}

Millis
Daemon::Impl::tick()
{
  mTakeoverGuard.prune(monotonicNow());
  if (mLeaveRequested) {
    mMembership.beginLeave();
  }
  mMembership.tick();
  mLease.tick();
  mHandoff.tick(draining());
  mCoordinator.tick();
  mRateLimiter.tick();
  if (mProtocol.isPlatform()) {
    checkConfigInTime();
  } else {
    mSnapshots.tick();
  }
  mCellLoaded = mFleet.ownCellLoaded();
  reportLoad(monotonicNow());
  countTraffic(monotonicNow());
  writeOverdueProposals();
  mProposer.tick(monotonicNow());
  mLastConfigRead = mFleet.lastConfigRead().mCount;
  mLeft = mMembership.leaving() && (!mMembership.joined() || hasNoSuccessor());
  if (mMembership.removed() && !mLeaveRequested) {
    mRemoved = true;
  }
  const bool busy =
    mHadRequests.exchange(false) || mHandoff.busy() || draining();
  return busy ? kBusyTickInterval : kIdleTickInterval;
}

bool
Daemon::Impl::drained()
{
  return mLeft;
}

bool
Daemon::Impl::draining() const
{
  const CellState& cell = mFleet.ownCell();
  const Member* self = mContext.self();
  const bool upstreamDown = self != nullptr && self->mUpstreamDown;
  return mMembership.leaving() || upstreamDown ||
         cell.mDrainedVms.contains(mSettings.mVm) ||
         cell.mDrainedZones.contains(mSettings.mZone);
}

bool
Daemon::Impl::hasNoSuccessor()
{
  // While the log is unreachable, a hand-off with an unknown outcome is not
  // waited for: no member is left to serve what it hands off.
  return mMembership.isLastMember() &&
         (!mHandoff.busy() || !mFleet.isLogReachable());
}

bool
Daemon::Impl::ready() const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (mProtocol.isPlatform()) {
    // No lease is needed to forward requests to upstreams on other VMs.
    return view->mModel != nullptr && mCellLoaded && !mRemoved &&
           !mLeaveRequested;
  }
  return view->mModel != nullptr && !mRemoved && configFresh() &&
         mAuthority.leaseUntil() > monotonicNow();
}

bool
Daemon::Impl::configFresh() const
{
  if (mProtocol.isPlatform()) {
    // The last known configuration stays in use, since a daemon that is cut off
    // cannot know whether there is a newer one.
    return true;
  }
  const Millis now = monotonicNow();
  // A held lease means that a majority of the witnesses answered within its
  // TTL, and they would have reported a newer configuration.
  return now - Millis{ mLastConfigRead } < kConfigFreshness ||
         mAuthority.leaseUntil() > now;
}

std::optional<Millis>
Daemon::Impl::configAsOf() const
{
  // The own log is read to its end again and again.
  const Millis asOf{ mProtocol.isPlatform() ? mConfigAsOf.load()
                                            : mLastConfigRead.load() };
  return asOf == Millis{} ? std::nullopt : std::optional(asOf);
}

bool
Daemon::Impl::mayRefuseForGood(std::optional<Millis> aAsOf,
                               Millis aReceivedAt) const
{
  const Millis limit =
    mProtocol.isPlatform() ? mSettings.configTime() : kConfigFreshness;
  return config::mayRefuseForGood(aAsOf, aReceivedAt, limit);
}

void
Daemon::Impl::followLog(const std::string& aStream)
{
  LogFollower::Hooks hooks;
  hooks.mOnRecords = [this, aStream](std::span<const LogRecord> aRecords,
                                     Millis aAskedAt) {
    std::vector<LogRecord> records(aRecords.begin(), aRecords.end());
    mLoop.post([this, aStream, aAskedAt, records = std::move(records)] {
      mFleet.onRecords(aStream, records);
      mFleet.onReadSucceeded(aStream, aAskedAt);
    });
  };
  hooks.mOnError = [this, aStream](const Error& aError) {
    mMetrics.count("radishroad_log_read_errors_total");
    mLoop.post([this, aStream] { mFleet.onReadFailed(aStream); });
    logEvent(LogLevel::Warn,
             "log_read_failed",
             { { "stream", aStream }, { "error", aError.mMessage } });
  };
  hooks.mOnGap = [this, aStream](std::uint64_t aOffset) {
    mLoop.post(
      [this, aStream, aOffset] { mFleet.onRecordsExpired(aStream, aOffset); });
    logEvent(LogLevel::Warn,
             "log_gap",
             { { "stream", aStream }, { "offset", aOffset } });
  };
  std::unique_ptr<LogFollower> follower = std::make_unique<LogFollower>(
    mSettings.mLogAddress, aStream, std::move(hooks));
  follower->start(0);
  mFollowers[aStream] = std::move(follower);
}

void
Daemon::Impl::probeLog(const std::function<void(bool)>& aDone)
{
  if (mWriter && monotonicNow() - mStoreAnsweredAt < kStoreFreshness) {
    // In a series of hand-offs, each write shows as well as a probe that the
    // store answers.
    aDone(true);
    return;
  }
  if (mWriter) {
    const bool accepted = mWriter->probe(
      mContext.ownStream(), kProbeTimeout, [this, aDone](bool aAnswers) {
        mLoop.post([aDone, aAnswers] { aDone(aAnswers); });
      });
    if (!accepted) {
      aDone(false);
    }
    return;
  }
  const bool accepted = mAppender->probe(
    mContext.ownStream(),
    kProbeTimeout,
    [this, aDone](const Result<std::uint64_t>& aNext) {
      mLoop.post([aDone, answers = aNext.has_value()] { aDone(answers); });
    });
  if (!accepted) {
    aDone(false);
  }
}

bool
Daemon::Impl::submitAppend(const std::string& aStream,
                           const wire::RecordT& aRecord,
                           std::function<void(Result<std::uint64_t>)> aResult)
{
  mMetrics.count("radishroad_log_appends_total");
  if (mWriter) {
    return submitState(aStream, aRecord, std::move(aResult));
  }
  return mAppender->submit(
    aStream,
    aRecord,
    kAppendTimeout,
    [this, result = std::move(aResult)](const Result<std::uint64_t>& aOffset) {
      mLoop.post([result, aOffset] { result(aOffset); });
    });
}

}

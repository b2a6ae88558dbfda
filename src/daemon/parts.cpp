#include "parts.h"

#include "radishroad/base/json_log.h"
#include "radishroad/ownership/handoff.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::size_t kControlRingCapacity = 8192;
/// While requests may wait for tokens, or shards for their hand-off.
constexpr Millis kBusyTickInterval{ 20 };
/// Four make one interval of lease renewals, rounded up.
constexpr Millis kIdleTickInterval{ 65 };
constexpr std::size_t kAppendRingCapacity = 256;
/// Time for which the appender repeats one append before it gives the matter
/// back.
constexpr Millis kAppendTimeout{ 2000 };
/// Less than a request's deadline: those held back meanwhile go on in time.
constexpr Millis kProbeTimeout{ 1000 };
/// A store that took a write so recently is not asked before a hand-off: an
/// outage is longer than this, and whoever hands off meets it at the write.
constexpr Millis kStoreFresh{ 1000 };
/// The configuration is judged current if the log was read so recently.
constexpr Millis kConfigFreshness{ 5000 };
/// Part of the time for an upstream that drains after which nothing more is
/// sent to it: what is on its way then arrives in time.
constexpr std::int64_t kDrainPercent = 75;

Millis
drainLimit(const DaemonSettings& aSettings)
{
  return aSettings.drainTime() * kDrainPercent / 100;
}

}

Daemon::Parts::Parts(const DaemonSettings& aSettings,
                     CrashWatch& aCrashes,
                     Millis aJoinDelay,
                     DaemonHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mProtocol(mHooks.mMakeProtocol(mSettings))
  , mSelf(makeIncarnation())
  , mAuthority(mViews, mSettings.mService, mSelf)
  , mCrashes(aCrashes)
  , mLoop(kControlRingCapacity)
  , mFleet(mSettings.mService, mViews, fleetHooks())
  , mRecorder([this](const std::string& aStream,
                     const wire::RecordT& aRecord,
                     std::function<void(Result<std::uint64_t>)> aResult) {
    return submitAppend(aStream, aRecord, std::move(aResult));
  })
  , mGate(std::make_unique<Gate>(
      Gate::Options{ .mUpstream = mSettings.mUpstreamAddress,
                     .mProtocol = mProtocol.mUpstream,
                     .mDrainPeriod = drainLimit(mSettings) },
      gateHooks(),
      mMetrics))
  , mLink(std::make_unique<PeerLink>(
      PeerLink::Options{ .mListenAddress = mSettings.mPeerAddress,
                         .mIncarnation = mSelf,
                         .mVm = mSettings.mVm },
      linkHooks()))
  , mContext{ mSelf,
              mSettings,
              mFleet,
              mRecorder,
              [this](Incarnation aTo, wire::FrameBodyUnion aBody) {
                sendControl(aTo, std::move(aBody));
              },
              monotonicNow,
              [this] { return mLease.suspects(); } }
  , mMembership(mContext, monotonicNow() + aJoinDelay)
  , mLease(
      mContext,
      [this](Millis aUntil) {
        mLeaseLog.onLease(aUntil, monotonicNow());
        mAuthority.setLeaseUntil(mHooks.mServeUntil(aUntil));
      },
      [this](Incarnation aFrom, const auto& aPositions) {
        mRelay.onPositions(aFrom, aPositions);
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
  , mRate(mContext, mAuthority)
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
                 return mFollowers.at(aStream)->oldestKept();
               })
  , mIngress(mSelf, mViews, mTimer, mMetrics, ingressHooks())
  , mCallers(
      { .mListenAddress = mSettings.mCallerAddress,
        .mThreads = mSettings.callerThreads(),
        .mFractionalRetryAfter = mProtocol.isPlatform(),
        .mRestrictStatuses = mProtocol.isPlatform(),
        .mMayRunConcurrently =
          [this](const CallerRequest& aRequest) {
            return mIngress.mayOverlap(aRequest);
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
    mAppender =
      std::make_unique<LogAppender>(mSettings.mLogAddress, kAppendRingCapacity);
  }
}

Result<void>
Daemon::Parts::start()
{
  Result<void> link = mLink->start();
  if (!link) {
    return link;
  }
  Result<void> admin = mAdmin.start();
  if (!admin) {
    return admin;
  }
  mLoop.start([this] { return tick(); });
  mLoop.post([this] {
    if (mProtocol.isPlatform()) {
      followOperators();
      followStates(cellStream(mSettings.mService));
      return;
    }
    follow(std::string(kConfigStream));
    follow(cellStream(mSettings.mService));
  });
  mGate->start();
  for (CallerServer* server : { mReports.get(), mReadiness.get() }) {
    Result<void> begun = server ? server->start() : Result<void>{};
    if (!begun) {
      return begun;
    }
  }
  return mCallers.start();
}

void
Daemon::Parts::stop()
{
  mCallers.stop();
  for (CallerServer* server : { mReports.get(), mReadiness.get() }) {
    if (server != nullptr) {
      server->stop();
    }
  }
  mAdmin.stop();
  mGate->stop();
  // Followers post to the loop and the loop adds followers: the loop goes
  // first, which makes its posters give up.
  mLoop.stop();
  for (const auto& [stream, follower] : mFollowers) {
    follower->stop();
  }
  for (const auto& [stream, feed] : mFeeds) {
    feed->stop();
  }
  mLink->stop();
  if (mAppender) {
    mAppender->stop();
  }
  if (mWriter) {
    mWriter->stop();
  }
  mTimer.stop();
}

Millis
Daemon::Parts::tick()
{
  mGuard.prune(monotonicNow());
  if (mLeaveRequested) {
    mMembership.beginLeave();
  }
  mMembership.tick();
  mLease.tick();
  mHandoff.tick(draining());
  mCoordinator.tick();
  mRate.tick();
  if (!mProtocol.isPlatform()) {
    mSnapshots.tick();
  }
  mStateRead = mFleet.ownCellLoaded();
  reportLoad(monotonicNow());
  countTraffic(monotonicNow());
  writeOverdue();
  mRecorder.tick(monotonicNow());
  mConfigContact = mFleet.lastConfigRead().mCount;
  mLeft = mMembership.leaving() && (!mMembership.joined() || nobodyTakesOver());
  if (mMembership.removed() && !mLeaveRequested) {
    mOut = true;
  }
  const bool busy =
    mHadRequests.exchange(false) || mHandoff.busy() || draining();
  return busy ? kBusyTickInterval : kIdleTickInterval;
}

bool
Daemon::Parts::drained()
{
  return mLeft;
}

bool
Daemon::Parts::draining() const
{
  const CellState& cell = mFleet.ownCell();
  const Member* self = mContext.self();
  const bool upstreamDown = self != nullptr && self->mUpstreamDown;
  return mMembership.leaving() || upstreamDown ||
         cell.mDrainedVms.contains(mSettings.mVm) ||
         cell.mDrainedZones.contains(mSettings.mZone);
}

bool
Daemon::Parts::nobodyTakesOver()
{
  // A hand-off in doubt is not waited for without the log: nobody is left to
  // serve what it hands off.
  return mMembership.isLastMember() &&
         (!mHandoff.busy() || !mFleet.isLogReachable());
}

bool
Daemon::Parts::ready() const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (mProtocol.isPlatform()) {
    // Callers are served wherever the upstreams are.
    return view->mModel != nullptr && mStateRead && !mOut && !mLeaveRequested;
  }
  return view->mModel != nullptr && !mOut && configFresh() &&
         mAuthority.leaseUntil() > monotonicNow();
}

bool
Daemon::Parts::configFresh() const
{
  if (mProtocol.isPlatform()) {
    // What was known last is served by: a daemon that is cut off cannot tell.
    return true;
  }
  const Millis now = monotonicNow();
  // A lease that is held says that a majority of the witnesses answered within
  // its TTL, and they would have told of a newer configuration.
  return now - Millis{ mConfigContact } < kConfigFreshness ||
         mAuthority.leaseUntil() > now;
}

void
Daemon::Parts::follow(const std::string& aStream)
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
    mLoop.post([this, aStream, aOffset] { mFleet.onGap(aStream, aOffset); });
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
Daemon::Parts::probeLog(const std::function<void(bool)>& aDone)
{
  if (mWriter && monotonicNow() - mStoreAnsweredAt < kStoreFresh) {
    // In a series of hand-offs, each write tells as much as a call would.
    aDone(true);
    return;
  }
  if (mWriter) {
    const bool asked = mWriter->probe(
      mContext.ownStream(), kProbeTimeout, [this, aDone](bool aAnswers) {
        mLoop.post([aDone, aAnswers] { aDone(aAnswers); });
      });
    if (!asked) {
      aDone(false);
    }
    return;
  }
  const bool taken = mAppender->probe(
    mContext.ownStream(),
    kProbeTimeout,
    [this, aDone](const Result<std::uint64_t>& aNext) {
      mLoop.post([aDone, answers = aNext.has_value()] { aDone(answers); });
    });
  if (!taken) {
    aDone(false);
  }
}

bool
Daemon::Parts::submitAppend(const std::string& aStream,
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

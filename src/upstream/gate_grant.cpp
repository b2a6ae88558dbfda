#include "gate_impl.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
/// Concurrent grants and releases; each uses a connection.
constexpr std::size_t kMaxKeyOperations = 4;
constexpr Millis kGrantTimeout{ 300 };
/// An upstream answers a release when the work on its keys has ended.
constexpr Millis kReleaseTimeout{ 2000 };
/// How long a release waits for a connection to the process that holds the
/// keys.
constexpr Millis kMaxReleaseWait{ 300 };
constexpr Millis kMaxIdle{ 8000 };
constexpr std::size_t kMaxKeyResponseBytes = 4096;

}

bool
Gate::Impl::grantsKeys() const
{
  return mHooks.mGrantableShards && mOptions.mProtocol.mGrant &&
         mService.mHoldTime > Millis{};
}

bool
Gate::Impl::mayHoldUnknownKeys() const
{
  return mHooks.mGrantableShards && mOptions.mProtocol.mGrant && !mIsConfigured;
}

bool
Gate::Impl::holdsKey(const ForwardRequest& aRequest, Epoch aEpoch) const
{
  return !grantsKeys() || aRequest.shard >= kShardCount ||
         mGrants.holds(aRequest.key_hash, aEpoch, mHooks.mNow());
}

bool
Gate::Impl::grantsByReport() const
{
  return grantsKeys() && mService.mGrantsByReport;
}

std::optional<GrantableShards>
Gate::Impl::currentGrantableShards(Millis aNow) const
{
  if (!mHealth.healthy() || isDrainOver(aNow)) {
    return GrantableShards{ mGrants.layout(), {} };
  }
  std::optional<GrantableShards> grantable = mHooks.mGrantableShards();
  if (grantable) {
    std::erase_if(grantable->mShards,
                  [this](const GrantableShard& aGrantableShard) {
                    return mReleases.contains(aGrantableShard.mShard);
                  });
  }
  return grantable;
}

void
Gate::Impl::setGrantableShards(const GrantableShards& aGrantable)
{
  setLayout(aGrantable.mLayout);
  mGrants.setGrantableShards(aGrantable.mShards);
}

void
Gate::Impl::setLayout(const KeyLayout& aLayout)
{
  if (aLayout == mGrants.layout()) {
    return;
  }
  mReleases.clear();
  mGrants.setLayout(aLayout);
}

ReportAnswer
Gate::Impl::answerReport(const UpstreamReport& aReport)
{
  if (!grantsByReport() || aReport.mKind == UpstreamReport::Kind::Leaving) {
    return {};
  }
  const Millis now = mHooks.mNow();
  const std::optional<GrantableShards> grantable = currentGrantableShards(now);
  if (grantable) {
    setLayout(grantable->mLayout);
  }
  if (aReport.mHolds) {
    mGrants.onReportedHolds(*aReport.mHolds, now);
    storeHandoverTokens(aReport);
  }
  ReportAnswer answer;
  if (!grantable || !mHealth.healthy()) {
    return answer;
  }
  mGrants.setGrantableShards(grantable->mShards);
  std::size_t size = 0;
  std::size_t leftOut = 0;
  answer.mHoldTime = mService.mHoldTime;
  answer.mHolds = mGrants.answerReport(
    [&](const KeyGrant& aRow) {
      const bool fits = mOptions.mProtocol.mFitsAnswer(aRow, size);
      leftOut += fits ? 0 : 1;
      return fits;
    },
    now);
  for (auto& [shard, release] : mReleases) {
    if (!release.mRequested && mPaused.contains(shard)) {
      mPaused[shard] = now;
    }
    release.mRequested = true;
  }
  mMetrics.gauge("radishroad_gate_hold_rows",
                 static_cast<double>(answer.mHolds->size()));
  if (leftOut > 0) {
    logEvent(LogLevel::Warn,
             "holds_left_out",
             { { "rows", leftOut }, { "bytes", size } });
  }
  return answer;
}

void
Gate::Impl::storeHandoverTokens(const UpstreamReport& aReport)
{
  const KeyLayout& layout = mGrants.layout();
  for (const ReportedRelease& released : aReport.mReleased) {
    const std::uint32_t last = released.mKeys.mLast / layout.runKeys();
    for (std::uint32_t n = released.mKeys.mFirst / layout.runKeys(); n <= last;
         ++n) {
      const auto it = mReleases.find(KeyLayout::shardOfRun(n));
      if (it != mReleases.end()) {
        it->second.mTokens.at(KeyLayout::indexInShard(n)) = released.mHandover;
      }
    }
  }
}

void
Gate::Impl::sendGrants(Millis aNow)
{
  if (!grantsKeys() || grantsByReport()) {
    return;
  }
  const GrantableShards grantable = currentGrantableShards(aNow).value_or(
    GrantableShards{ mGrants.layout(), {} });
  setGrantableShards(grantable);
  mGrantsAwaitConnection = false;
  const std::optional<Millis> due = mGrants.nextDue(aNow);
  if (mKeyOperations.size() >= kMaxKeyOperations || !due || *due > aNow) {
    return;
  }
  const std::size_t n =
    std::min(kMaxKeyOperations - mKeyOperations.size(), keyConnections(aNow));
  mGrantsAwaitConnection = n == 0;
  for (const KeyGrant& grant : mGrants.dueGrants(n, aNow)) {
    KeyOperation operation;
    operation.mProcess = mProcessConnections.process();
    operation.mGrant = grant;
    operation.mSentAt = aNow;
    operation.mValidUntil = grantable.mValidUntil;
    startKeyOperation(
      mOptions.mProtocol.mGrant(grant),
      std::move(operation),
      kGrantTimeout,
      [this](const UpstreamResponse& aResponse) {
        return mOptions.mProtocol.mHandover(aResponse).empty();
      },
      [this](std::uint64_t aOperationId,
             ExchangeOutcome aOutcome,
             const UpstreamResponse& aResponse) {
        onGrantEnd(aOperationId, aOutcome, aResponse);
      });
  }
}

void
Gate::Impl::startKeyOperation(ControlRequest aRequest,
                              KeyOperation aEntry,
                              Millis aTimeout,
                              IsPossibleResponseFn aIsPossibleResponse,
                              KeyOperationCompletionFn aOnCompletion)
{
  const std::uint64_t id = mNextKeyOperation++;
  KeyOperation& entry = mKeyOperations[id];
  entry = std::move(aEntry);
  entry.mLayout = mGrants.layout();
  entry.mBody = std::move(aRequest.mBody);
  UpstreamRequest request;
  request.mUpstream = mOptions.mUpstream;
  request.mPurpose = "keys";
  request.mMethod = std::move(aRequest.mMethod);
  request.mTarget = std::move(aRequest.mTarget);
  request.mHeaderLines = std::move(aRequest.mHeaderLines);
  request.mBody = { reinterpret_cast<const std::uint8_t*>(entry.mBody.data()),
                    entry.mBody.size() };
  request.mTimeout = aTimeout;
  request.mMaxIdle = kMaxIdle;
  request.mMaxBodyBytes = kMaxKeyResponseBytes;
  request.mNeedsFreshConnection = entry.mNeedsFreshConnection;
  if (entry.mProcess) {
    request.mMayUseConnection =
      [this, process = *entry.mProcess](ConnectionId aConnection) {
        return mProcessConnections.process() == process &&
               mProcessConnections.isConfirmed(aConnection);
      };
  }
  // A response with an id belongs to a request of a caller.
  request.mEchoHeader = mOptions.mProtocol.mEchoHeader;
  request.mIsPossibleResponse = std::move(aIsPossibleResponse);
  request.mAcceptsUnframedBody = true;
  mExchanges.start(
    request,
    // The thread may have been suspended, or waited for the connection.
    [this, validUntil = entry.mValidUntil] {
      return mHooks.mNow() < validUntil;
    },
    [id, onCompletion = std::move(aOnCompletion)](
      ExchangeOutcome aOutcome, CURLcode, const UpstreamResponse& aResponse) {
      onCompletion(id, aOutcome, aResponse);
    });
}

void
Gate::Impl::onGrantEnd(std::uint64_t aOperationId,
                       ExchangeOutcome aOutcome,
                       const UpstreamResponse& aResponse)
{
  const auto node = mKeyOperations.extract(aOperationId);
  const KeyOperation& operation = node.mapped();
  const Millis now = mHooks.mNow();
  mMetrics.count("radishroad_gate_grants_total");
  switch (aOutcome) {
    case ExchangeOutcome::ConnectionRefused:
      onGrantNotSent(operation, now);
      onProcessEnded(LostCause::ConnectionRefused, operation.mSentAt);
      return;
    case ExchangeOutcome::NotSent:
      onGrantNotSent(operation, now);
      mHealth.requestProbe(now);
      return;
    case ExchangeOutcome::Incomplete:
      mGrants.onUnanswered(operation.mGrant, now);
      mHealth.requestProbe(now);
      return;
    case ExchangeOutcome::Complete:
      break;
  }
  recordProcess(aResponse, false, operation.mSentAt);
  const int status = aResponse.mStatus;
  if (status == kStatusOk) {
    mGrants.onGranted(operation.mGrant, operation.mSentAt, now);
    return;
  }
  logEvent(LogLevel::Warn,
           status == kStatusConflict ? "grant_outdated" : "grant_refused",
           { { "status", status },
             { "first_key", operation.mGrant.mKeys.mFirst },
             { "last_key", operation.mGrant.mKeys.mLast },
             { "epoch", operation.mGrant.mEpoch } });
  mGrants.onRefused(operation.mGrant, now);
}

void
Gate::Impl::onGrantNotSent(const KeyOperation& aOperation, Millis aNow)
{
  if (aOperation.mLayout == mGrants.layout()) {
    mGrants.onNotSent(aOperation.mGrant, aNow);
    return;
  }
  mGrants.onRefused(aOperation.mGrant, aNow);
}

bool
Gate::Impl::releaseShard(Shard aShard, Millis aNow)
{
  if (mayHoldUnknownKeys()) {
    // An earlier process of this daemon may have granted the shard.
    return false;
  }
  if (!grantsKeys() || aShard >= kShardCount) {
    return true;
  }
  // Also keeps the shard from being granted until it is resumed.
  if (!mReleases.contains(aShard)) {
    Release& started = mReleases[aShard];
    started.mToSend = mGrants.layout().runsOfShard(aShard);
    started.mTokens.resize(mGrants.layout().runsPerShard());
    started.mEpoch = mHooks.mEpochOf(aShard);
    started.mStartedAt = aNow;
  }
  if (isEndConfirmed()) {
    // A grant that was under way may reach the next process.
    return !mGrants.isGrantInFlight(aShard) &&
           aNow >= mGrants.freeFrom(aShard, aNow);
  }
  if (grantsByReport()) {
    return releaseByReport(aShard, aNow);
  }
  Release& release = mReleases[aShard];
  if (mGrants.isGrantInFlight(aShard)) {
    return false;
  }
  std::size_t connections = release.mToSend.empty() ? 0 : keyConnections(aNow);
  if (connections == 0 && aNow - release.mStartedAt >= kMaxReleaseWait) {
    // The hand-off matters more than the handover tokens, which only a
    // confirmed connection carries.
    connections = kMaxKeyOperations;
  }
  while (!release.mToSend.empty() && connections > 0 &&
         mKeyOperations.size() < kMaxKeyOperations) {
    --connections;
    const std::uint32_t run = release.mToSend.back();
    release.mToSend.pop_back();
    sendRelease(run, release.mEpoch, false);
  }
  const bool free = release.mCompleted == mGrants.layout().runsPerShard() &&
                    aNow >= mGrants.freeFrom(aShard, aNow);
  if (free) {
    finishRelease(aShard, release);
  }
  return free;
}

void
Gate::Impl::sendRelease(std::uint32_t aRun,
                        Epoch aEpoch,
                        bool aNeedsFreshConnection)
{
  KeyOperation operation;
  operation.mKeyRun = aRun;
  operation.mSentAt = mHooks.mNow();
  operation.mNeedsFreshConnection = aNeedsFreshConnection;
  startKeyOperation(
    mOptions.mProtocol.mRelease(mGrants.layout().rangeOfRun(aRun), aEpoch),
    std::move(operation),
    kReleaseTimeout,
    [this, aNeedsFreshConnection](const UpstreamResponse& aResponse) {
      return aNeedsFreshConnection ||
             isNewHandover(mOptions.mProtocol.mHandover(aResponse));
    },
    [this](std::uint64_t aOperationId,
           ExchangeOutcome aOutcome,
           const UpstreamResponse& aResponse) {
      onReleaseEnd(aOperationId, aOutcome, aResponse);
    });
}

bool
Gate::Impl::isNewHandover(const std::string& aToken) const
{
  // Responses to control calls have no id. On a pooled connection, only a token
  // that was not seen before tells a response from a copy of an earlier one.
  return !aToken.empty() && !mHandoverTokens.contains(hash64(aToken));
}

bool
Gate::Impl::releaseByReport(Shard aShard, Millis aNow)
{
  // The shard is free when a report does not name its keys any more, or when
  // the hold time has passed.
  const bool free = aNow >= mGrants.freeFrom(aShard, aNow);
  if (free) {
    finishRelease(aShard, mReleases.at(aShard));
  }
  return free;
}

void
Gate::Impl::finishRelease(Shard aShard, Release& aRelease)
{
  if (!aRelease.mNotified) {
    aRelease.mNotified = true;
    mHooks.mOnReleased(aShard, aRelease.mTokens);
  }
}

void
Gate::Impl::logReleased(const PendingPause& aPause) const
{
  std::uint32_t runs = 0;
  std::uint32_t confirmed = 0;
  nlohmann::json shards = nlohmann::json::array();
  for (const Shard shard : aPause.mShards) {
    shards.push_back(shard);
    const auto it = mReleases.find(shard);
    runs += it == mReleases.end() ? 0 : mGrants.layout().runsPerShard();
    confirmed += it == mReleases.end() ? 0 : it->second.mConfirmed;
  }
  logEvent(LogLevel::Info,
           "shards_released",
           { { "shards", std::move(shards) },
             { "runs", runs },
             { "runs_confirmed", confirmed },
             { "by_report", grantsByReport() },
             { "grants_keys", grantsKeys() },
             { "upstream_ended", isEndConfirmed() } });
}

void
Gate::Impl::clearHolds(const char* aCause)
{
  const Millis now = mHooks.mNow();
  Millis longest;
  std::size_t held = 0;
  for (Shard shard = 0; grantsKeys() && shard < kShardCount; ++shard) {
    const Millis left = mGrants.freeFrom(shard, now) - now;
    held += left > Millis{} ? 1 : 0;
    longest = std::max(longest, left);
  }
  if (held > 0) {
    logEvent(LogLevel::Info,
             "holds_forgotten",
             { { "cause", aCause },
               { "instance", mAppliedReport.mInstance },
               { "shards", held },
               { "longest_ms", longest.mCount } });
  }
  mGrants.clearHolds();
}

bool
Gate::Impl::isShardPaused(Shard aShard) const
{
  if (!mPaused.contains(aShard)) {
    return false;
  }
  // The upstream serves the shard until a report is answered without it.
  const auto it = mReleases.find(aShard);
  return !grantsByReport() || it == mReleases.end() || it->second.mRequested ||
         it->second.mNotified;
}

void
Gate::Impl::onReleaseEnd(std::uint64_t aOperationId,
                         ExchangeOutcome aOutcome,
                         const UpstreamResponse& aResponse)
{
  const auto node = mKeyOperations.extract(aOperationId);
  const std::uint32_t run = node.mapped().mKeyRun;
  const bool isReleased =
    aOutcome == ExchangeOutcome::Complete && aResponse.mStatus == kStatusOk;
  const std::string token = mOptions.mProtocol.mHandover(aResponse);
  if (isReleased && !token.empty()) {
    mHandoverTokens.insert(hash64(token));
    recordProcess(aResponse, false, node.mapped().mSentAt);
  }
  const auto it = mReleases.find(KeyLayout::shardOfRun(run));
  const bool isOutdated = node.mapped().mLayout != mGrants.layout();
  if (it == mReleases.end() || isOutdated) {
    return;
  }
  const bool isOfOtherCall = aOutcome == ExchangeOutcome::Incomplete &&
                             aResponse.mStatus != 0 &&
                             !node.mapped().mNeedsFreshConnection;
  if (isOfOtherCall) {
    mMetrics.count("radishroad_gate_releases_resent_total");
    sendRelease(run, it->second.mEpoch, true);
    return;
  }
  ++it->second.mCompleted;
  if (aOutcome == ExchangeOutcome::ConnectionRefused) {
    onProcessEnded(LostCause::ConnectionRefused, node.mapped().mSentAt);
  } else if (isReleased) {
    mGrants.onReleased(run);
    ++it->second.mConfirmed;
    // A process that started meanwhile has not held the keys.
    if (mProcessConnections.isConfirmed(aResponse.mConnection)) {
      it->second.mTokens.at(KeyLayout::indexInShard(run)) = token;
    }
  } else {
    mMetrics.count("radishroad_gate_release_failures_total");
  }
}

}

#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
/// Grants and releases under way at once; each takes a connection.
constexpr std::size_t kMaxKeyCalls = 4;
constexpr Millis kGrantTimeout{ 300 };
/// A release is answered once the work on its keys has ended.
constexpr Millis kReleaseTimeout{ 2000 };
constexpr Millis kMaxIdle{ 8000 };
constexpr std::size_t kMaxKeyAnswer = 4096;

}

bool
Gate::Impl::grantsKeys() const
{
  return mHooks.mHoldings && mOptions.mProtocol.mGrant &&
         mService.mHoldTime > Millis{};
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
Gate::Impl::wantedHoldings(Millis aNow) const
{
  if (!mHealth.healthy() || isClosed(aNow)) {
    return GrantableShards{ mGrants.layout(), {} };
  }
  std::optional<GrantableShards> holdings = mHooks.mHoldings();
  if (holdings) {
    std::erase_if(holdings->mShards, [this](const GrantableShard& aHolding) {
      return mReleases.contains(aHolding.mShard);
    });
  }
  return holdings;
}

void
Gate::Impl::setGrantableShards(const GrantableShards& aHoldings)
{
  mGrants.setLayout(aHoldings.mLayout);
  mGrants.setGrantableShards(aHoldings.mShards);
}

ReportAnswer
Gate::Impl::answerReport(const UpstreamReport& aReport)
{
  if (!grantsByReport() || aReport.mKind == UpstreamReport::Kind::Leaving) {
    return {};
  }
  const Millis now = mHooks.mNow();
  const std::optional<GrantableShards> holdings = wantedHoldings(now);
  if (holdings) {
    mGrants.setLayout(holdings->mLayout);
  }
  if (aReport.mHolds) {
    mGrants.onReportedHolds(*aReport.mHolds);
    noteReleased(aReport);
  }
  ReportAnswer answer;
  if (!holdings || !mHealth.healthy()) {
    return answer;
  }
  mGrants.setGrantableShards(holdings->mShards);
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
    if (!release.mOrdered && mPaused.contains(shard)) {
      mPaused[shard] = now;
    }
    release.mOrdered = true;
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
Gate::Impl::noteReleased(const UpstreamReport& aReport)
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
  setGrantableShards(
    wantedHoldings(aNow).value_or(GrantableShards{ mGrants.layout(), {} }));
  if (mKeyCalls.size() >= kMaxKeyCalls) {
    return;
  }
  for (const KeyGrant& order :
       mGrants.dueGrants(kMaxKeyCalls - mKeyCalls.size(), aNow)) {
    startKeyCall(mOptions.mProtocol.mGrant(order),
                 { order, 0, aNow, {} },
                 kGrantTimeout,
                 [this](std::uint64_t aCall,
                        ExchangeEnd aEnd,
                        const UpstreamResponse& aResponse) {
                   onGrantEnd(aCall, aEnd, aResponse.mStatus);
                 });
  }
}

void
Gate::Impl::startKeyCall(UpstreamCall aCall,
                         KeyCall aEntry,
                         Millis aTimeout,
                         KeyCallEndFn aEnd)
{
  const std::uint64_t id = mNextKeyCall++;
  KeyCall& entry = mKeyCalls[id];
  entry = std::move(aEntry);
  entry.mBody = std::move(aCall.mBody);
  UpstreamRequest request;
  request.mUpstream = mOptions.mUpstream;
  request.mMethod = std::move(aCall.mMethod);
  request.mTarget = std::move(aCall.mTarget);
  request.mHeaderLines = std::move(aCall.mHeaderLines);
  request.mBody = { reinterpret_cast<const std::uint8_t*>(entry.mBody.data()),
                    entry.mBody.size() };
  request.mTimeout = aTimeout;
  request.mMaxIdle = kMaxIdle;
  request.mMaxBodyBytes = kMaxKeyAnswer;
  request.mTakesUnframed = true;
  mExchanges.start(
    request,
    [] { return true; },
    [id, end = std::move(aEnd)](
      ExchangeEnd aExchangeEnd, CURLcode, const UpstreamResponse& aResponse) {
      end(id, aExchangeEnd, aResponse);
    });
}

void
Gate::Impl::onGrantEnd(std::uint64_t aCall, ExchangeEnd aEnd, int aStatus)
{
  const auto node = mKeyCalls.extract(aCall);
  const KeyCall& call = node.mapped();
  const Millis now = mHooks.mNow();
  mMetrics.count("radishroad_gate_grants_total");
  switch (aEnd) {
    case ExchangeEnd::Refused:
      mGrants.onRefused(call.mOrder, now);
      onHealthChange(mHealth.onRefused());
      return;
    case ExchangeEnd::NotSent:
      mGrants.onRefused(call.mOrder, now);
      mHealth.probeSoon(now);
      return;
    case ExchangeEnd::Lost:
      mGrants.onUnanswered(call.mOrder, now);
      mHealth.probeSoon(now);
      return;
    case ExchangeEnd::Whole:
      break;
  }
  if (aStatus == kStatusOk) {
    mGrants.onGranted(call.mOrder, call.mSentAt, now);
    return;
  }
  logEvent(LogLevel::Warn,
           aStatus == kStatusConflict ? "grant_outdated" : "grant_refused",
           { { "status", aStatus },
             { "first_key", call.mOrder.mKeys.mFirst },
             { "last_key", call.mOrder.mKeys.mLast },
             { "epoch", call.mOrder.mEpoch } });
  mGrants.onRefused(call.mOrder, now);
}

bool
Gate::Impl::releaseShard(Shard aShard, Millis aNow)
{
  if (!grantsKeys() || aShard >= kShardCount) {
    return true;
  }
  if (mHealth.lost()) {
    // The process is gone, and its keys with it.
    return true;
  }
  if (!mReleases.contains(aShard)) {
    Release& begun = mReleases[aShard];
    begun.mToSend = mGrants.layout().runsOfShard(aShard);
    begun.mTokens.resize(mGrants.layout().runsPerShard());
    begun.mEpoch = mHooks.mEpochOf(aShard);
  }
  if (grantsByReport()) {
    return releaseByReport(aShard, aNow);
  }
  Release& release = mReleases[aShard];
  if (mGrants.isGrantInFlight(aShard)) {
    return false;
  }
  while (!release.mToSend.empty() && mKeyCalls.size() < kMaxKeyCalls) {
    const std::uint32_t run = release.mToSend.back();
    release.mToSend.pop_back();
    KeyCall call;
    call.mRun = run;
    call.mSentAt = aNow;
    startKeyCall(mOptions.mProtocol.mRelease(mGrants.layout().rangeOfRun(run),
                                             release.mEpoch),
                 std::move(call),
                 kReleaseTimeout,
                 [this](std::uint64_t aCall,
                        ExchangeEnd aEnd,
                        const UpstreamResponse& aResponse) {
                   onReleaseEnd(aCall, aEnd, aResponse);
                 });
  }
  const bool free = release.mEnded == mGrants.layout().runsPerShard() &&
                    aNow >= mGrants.freeFrom(aShard, aNow);
  if (free) {
    endRelease(aShard, release);
  }
  return free;
}

bool
Gate::Impl::releaseByReport(Shard aShard, Millis aNow)
{
  // Free once a report does not name it any more, or the hold has run out.
  const bool free = aNow >= mGrants.freeFrom(aShard, aNow);
  if (free) {
    endRelease(aShard, mReleases.at(aShard));
  }
  return free;
}

void
Gate::Impl::endRelease(Shard aShard, Release& aRelease)
{
  if (!aRelease.mTold) {
    aRelease.mTold = true;
    mHooks.mOnReleased(aShard, aRelease.mTokens);
  }
}

bool
Gate::Impl::isHeldBack(Shard aShard) const
{
  if (!mPaused.contains(aShard)) {
    return false;
  }
  // Until a report is answered without it, the upstream serves it on.
  const auto it = mReleases.find(aShard);
  return !grantsByReport() || it == mReleases.end() || it->second.mOrdered ||
         it->second.mTold;
}

void
Gate::Impl::onReleaseEnd(std::uint64_t aCall,
                         ExchangeEnd aEnd,
                         const UpstreamResponse& aResponse)
{
  const auto node = mKeyCalls.extract(aCall);
  const std::uint32_t run = node.mapped().mRun;
  const auto it = mReleases.find(KeyLayout::shardOfRun(run));
  if (it == mReleases.end()) {
    return;
  }
  ++it->second.mEnded;
  if (aEnd == ExchangeEnd::Refused) {
    onHealthChange(mHealth.onRefused());
  } else if (aEnd == ExchangeEnd::Whole && aResponse.mStatus == kStatusOk) {
    mGrants.onReleased(run);
    it->second.mTokens.at(KeyLayout::indexInShard(run)) =
      mOptions.mProtocol.mHandover(aResponse);
  } else {
    mMetrics.count("radishroad_gate_release_failures_total");
  }
}

}

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

void
Gate::Impl::sendGrants(Millis aNow)
{
  if (!grantsKeys()) {
    return;
  }
  std::vector<Holding> holdings;
  if (mHealth.healthy() && !isClosed(aNow)) {
    holdings = mHooks.mHoldings();
    std::erase_if(holdings, [this](const Holding& aHolding) {
      return mReleases.contains(aHolding.mShard);
    });
  }
  mGrants.setHoldings(holdings);
  if (mKeyCalls.size() >= kMaxKeyCalls) {
    return;
  }
  for (const GrantOrder& order :
       mGrants.due(kMaxKeyCalls - mKeyCalls.size(), aNow)) {
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
    begun.mToSend = runsOfShard(aShard);
    begun.mTokens.resize(kRunsPerShard);
    begun.mEpoch = mHooks.mEpochOf(aShard);
  }
  Release& release = mReleases[aShard];
  if (mGrants.underWay(aShard)) {
    return false;
  }
  while (!release.mToSend.empty() && mKeyCalls.size() < kMaxKeyCalls) {
    const std::uint32_t run = release.mToSend.back();
    release.mToSend.pop_back();
    KeyCall call;
    call.mRun = run;
    call.mSentAt = aNow;
    startKeyCall(mOptions.mProtocol.mRelease(rangeOfRun(run), release.mEpoch),
                 std::move(call),
                 kReleaseTimeout,
                 [this](std::uint64_t aCall,
                        ExchangeEnd aEnd,
                        const UpstreamResponse& aResponse) {
                   onReleaseEnd(aCall, aEnd, aResponse);
                 });
  }
  const bool free =
    release.mEnded == kRunsPerShard && aNow >= mGrants.freeFrom(aShard, aNow);
  if (free && !release.mTold) {
    release.mTold = true;
    mHooks.mOnReleased(aShard, release.mTokens);
  }
  return free;
}

void
Gate::Impl::onReleaseEnd(std::uint64_t aCall,
                         ExchangeEnd aEnd,
                         const UpstreamResponse& aResponse)
{
  const auto node = mKeyCalls.extract(aCall);
  const std::uint32_t run = node.mapped().mRun;
  const auto it = mReleases.find(shardOfRun(run));
  if (it == mReleases.end()) {
    return;
  }
  ++it->second.mEnded;
  if (aEnd == ExchangeEnd::Refused) {
    onHealthChange(mHealth.onRefused());
  } else if (aEnd == ExchangeEnd::Whole && aResponse.mStatus == kStatusOk) {
    mGrants.onReleased(run);
    it->second.mTokens.at(run / kShardCount) =
      mOptions.mProtocol.mHandover(aResponse);
  } else {
    mMetrics.count("radishroad_gate_release_failures_total");
  }
}

}

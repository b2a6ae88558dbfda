#include "radishroad/policy/token_cache.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Asks cover the demand expected within this time.
constexpr double kPrefetchSeconds = 0.1;
/// If fewer requests are expected within kPrefetchSeconds, no tokens are
/// prefetched: they are asked for as requests arrive.
constexpr double kMinPrefetch = 2.0;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 0.5;
/// An ask that got no grant within this time counts as lost.
constexpr Millis kAskTimeout{ 40 };
constexpr double kMillisPerSecond = 1000.0;
/// This many requests of a workspace may always wait for tokens.
constexpr std::uint32_t kMinWaitingLimit = 16;
constexpr double kNegligibleDemand = 0.01;
/// Minimum retry delay for a caller that found no token.
constexpr Millis kMinRetryAfter{ 100 };
/// Retry delay while the bucket's owner does not answer: about the time that a
/// takeover or a start of all daemons takes from then on.
constexpr Millis kUnansweredRetryAfter{ 250 };

double
seconds(Millis aSpan)
{
  return static_cast<double>(aSpan.mCount) / kMillisPerSecond;
}

}

TokenCache::TokenCache(std::uint64_t aSelf)
  : mSelf(aSelf)
{
}

TokenCache::WorkspaceTokens&
TokenCache::tokensOf(std::string_view aWorkspace)
{
  const auto it = mWorkspaces.find(aWorkspace);
  if (it != mWorkspaces.end()) {
    return it->second;
  }
  return mWorkspaces.emplace(std::string(aWorkspace), WorkspaceTokens{})
    .first->second;
}

bool
TokenCache::spendToken(WorkspaceTokens& aTokens, Millis aNow)
{
  while (!aTokens.mBatches.empty()) {
    Batch& oldest = aTokens.mBatches.front();
    if (oldest.mTokens > 0 && aNow < oldest.mExpiresAt) {
      --oldest.mTokens;
      return true;
    }
    aTokens.mBatches.pop_front();
  }
  return false;
}

std::uint32_t
TokenCache::tokens(const WorkspaceTokens& aTokens, Millis aNow)
{
  std::uint32_t n = 0;
  for (const Batch& batch : aTokens.mBatches) {
    n += aNow < batch.mExpiresAt ? batch.mTokens : 0;
  }
  return n;
}

double
TokenCache::demand(const WorkspaceTokens& aTokens, Millis aNow)
{
  const double passed = seconds(aNow - aTokens.mDemandAt);
  return aTokens.mDemand * std::exp(-passed / kDemandTimeConstantSeconds);
}

void
TokenCache::recordRequest(WorkspaceTokens& aTokens, Millis aNow)
{
  // Each request adds an amount whose decay integrates to one request.
  aTokens.mDemand = demand(aTokens, aNow) + 1 / kDemandTimeConstantSeconds;
  aTokens.mDemandAt = aNow;
}

TakeResult
TokenCache::take(std::string_view aWorkspace, Millis aNow)
{
  WorkspaceTokens& entry = tokensOf(aWorkspace);
  recordRequest(entry, aNow);
  // Requests that are already waiting go first.
  if (entry.mWaiting == 0 && spendToken(entry, aNow)) {
    return TakeResult::Taken;
  }
  // Above the rate, only as many may wait as the next grant is likely to serve,
  // but always a few: a bucket that has just changed its owner is empty, which
  // does not mean that the workspace exceeds its rate.
  if (entry.mLastGrantPartial &&
      entry.mWaiting >= std::max(entry.mLastGranted + 1, kMinWaitingLimit)) {
    return TakeResult::Refused;
  }
  ++entry.mWaiting;
  return TakeResult::WaitForGrant;
}

TakeResult
TokenCache::takeForWaiting(std::string_view aWorkspace, Millis aNow)
{
  WorkspaceTokens& entry = tokensOf(aWorkspace);
  if (!spendToken(entry, aNow)) {
    return TakeResult::WaitForGrant;
  }
  entry.mWaiting -= std::min(entry.mWaiting, 1U);
  return TakeResult::Taken;
}

void
TokenCache::cancelWait(std::string_view aWorkspace)
{
  WorkspaceTokens& entry = tokensOf(aWorkspace);
  entry.mWaiting -= std::min(entry.mWaiting, 1U);
}

std::uint32_t
TokenCache::wanted(const WorkspaceTokens& aTokens, Millis aNow)
{
  const double expectedRequests = demand(aTokens, aNow) * kPrefetchSeconds;
  const double prefetchTarget =
    expectedRequests < kMinPrefetch ? 0 : expectedRequests;
  const std::uint32_t availableCount = tokens(aTokens, aNow);
  // Ask again only when half is used, to keep the number of asks low.
  const bool isSufficient =
    availableCount > 0 && availableCount >= prefetchTarget / 2;
  if (isSufficient && aTokens.mWaiting <= availableCount) {
    return 0;
  }
  const double need =
    std::ceil(prefetchTarget) + aTokens.mWaiting - availableCount;
  return static_cast<std::uint32_t>(std::max(0.0, need));
}

std::vector<wire::TokenAskT>
TokenCache::asks(Millis aNow)
{
  std::vector<wire::TokenAskT> asks;
  std::erase_if(mWorkspaces, [aNow](const auto& aEntry) {
    const WorkspaceTokens& idle = aEntry.second;
    return idle.mWaiting == 0 && tokens(idle, aNow) == 0 && !idle.mAskPending &&
           demand(idle, aNow) < kNegligibleDemand;
  });
  for (auto& [workspace, entry] : mWorkspaces) {
    if (entry.mAskPending && aNow - entry.mAskedAt >= kAskTimeout) {
      entry.mAskPending = false;
      entry.mLastAskUnanswered = true;
    }
    const std::uint32_t n = wanted(entry, aNow);
    if (entry.mAskPending || aNow < entry.mNextAskAt || n == 0) {
      continue;
    }
    wire::TokenAskT ask;
    ask.asker = mSelf;
    ask.workspace = workspace;
    ask.sequence = ++mSequence;
    entry.mSequence = ask.sequence;
    ask.wanted = n;
    entry.mAskPending = true;
    entry.mAskedAt = aNow;
    entry.mWanted = n;
    asks.push_back(std::move(ask));
  }
  return asks;
}

Millis
TokenCache::nextAsk(Millis aNow) const
{
  Millis next = aNow + kAskTimeout;
  for (const auto& [workspace, entry] : mWorkspaces) {
    if (entry.mAskPending) {
      next = std::min(next, entry.mAskedAt + kAskTimeout);
    } else if (wanted(entry, aNow) > 0) {
      next = std::min(next, std::max(aNow, entry.mNextAskAt));
    }
  }
  return next;
}

void
TokenCache::onGrant(const wire::TokenGrantT& aGrant,
                    Millis aSentAt,
                    Millis aNow)
{
  const auto it = mWorkspaces.find(aGrant.workspace);
  // Ignore copies, and grants for an ask that was considered lost.
  const bool expected = it != mWorkspaces.end() && it->second.mAskPending &&
                        it->second.mSequence == aGrant.sequence;
  if (!expected) {
    return;
  }
  WorkspaceTokens& entry = it->second;
  entry.mAskPending = false;
  entry.mLastAskUnanswered = false;
  entry.mLastGranted = aGrant.tokens;
  entry.mLastGrantPartial = aGrant.tokens < entry.mWanted;
  entry.mNextAskAt =
    entry.mLastGrantPartial ? aNow + Millis{ aGrant.next_ask_ms } : aNow;
  const Millis expiry = aSentAt + Millis{ aGrant.ttl_ms };
  if (aGrant.tokens > 0 && aNow < expiry) {
    entry.mBatches.push_back({ aGrant.tokens, expiry });
  }
}

Millis
TokenCache::retryAfter(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mWorkspaces.find(aWorkspace);
  if (it == mWorkspaces.end() || it->second.mLastAskUnanswered) {
    return kUnansweredRetryAfter;
  }
  return std::max(kMinRetryAfter, it->second.mNextAskAt - aNow);
}

TokenState
TokenCache::state(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mWorkspaces.find(aWorkspace);
  if (it == mWorkspaces.end()) {
    return {};
  }
  const WorkspaceTokens& entry = it->second;
  TokenState state;
  state.mGranted = entry.mLastGranted;
  state.mWanted = entry.mWanted;
  state.mWaiting = entry.mWaiting;
  state.mSinceLastAsk = aNow - entry.mAskedAt;
  state.mAskPending = entry.mAskPending;
  state.mLastAskUnanswered = entry.mLastAskUnanswered;
  state.mDemand = demand(entry, aNow);
  return state;
}

std::uint32_t
TokenCache::availableTokens(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mWorkspaces.find(aWorkspace);
  return it == mWorkspaces.end() ? 0 : tokens(it->second, aNow);
}

}

#include "radishroad/policy/token_cache.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Asks are for what comes within this time.
constexpr double kPrefetchSeconds = 0.1;
/// Demand below so many requests within the horizon is served by single asks.
constexpr double kMinPrefetch = 2.0;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 0.5;
/// An ask without a grant for so long is taken as lost.
constexpr Millis kAskTimeout{ 40 };
constexpr double kMillisPerSecond = 1000.0;
/// Requests of a workspace that may wait for tokens at any time.
constexpr std::uint32_t kMinWaitingLimit = 16;
constexpr double kNegligibleDemand = 0.01;
/// Least pause of a caller that found no token.
constexpr Millis kMinRetryAfter{ 100 };
/// The same while the bucket's owner does not answer: about what a takeover or
/// a start of all daemons takes from then on.
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
  // Each request adds what, decaying, sums up to one.
  aTokens.mDemand = demand(aTokens, aNow) + 1 / kDemandTimeConstantSeconds;
  aTokens.mDemandAt = aNow;
}

TakeResult
TokenCache::take(std::string_view aWorkspace, Millis aNow)
{
  WorkspaceTokens& mine = tokensOf(aWorkspace);
  recordRequest(mine, aNow);
  // Those who came before go first.
  if (mine.mWaiting == 0 && spendToken(mine, aNow)) {
    return TakeResult::Taken;
  }
  // Beyond the rate, no more wait than the next grant is likely to serve. A
  // few may always: a bucket that has just changed its owner is empty, and says
  // nothing of the rate yet.
  if (mine.mLastGrantPartial &&
      mine.mWaiting >= std::max(mine.mLastGranted + 1, kMinWaitingLimit)) {
    return TakeResult::Refused;
  }
  ++mine.mWaiting;
  return TakeResult::WaitForGrant;
}

TakeResult
TokenCache::takeHeld(std::string_view aWorkspace, Millis aNow)
{
  WorkspaceTokens& mine = tokensOf(aWorkspace);
  if (!spendToken(mine, aNow)) {
    return TakeResult::WaitForGrant;
  }
  mine.mWaiting -= std::min(mine.mWaiting, 1U);
  return TakeResult::Taken;
}

void
TokenCache::dropHeld(std::string_view aWorkspace)
{
  WorkspaceTokens& mine = tokensOf(aWorkspace);
  mine.mWaiting -= std::min(mine.mWaiting, 1U);
}

std::uint32_t
TokenCache::wanted(const WorkspaceTokens& aTokens, Millis aNow)
{
  const double soon = demand(aTokens, aNow) * kPrefetchSeconds;
  const double ahead = soon < kMinPrefetch ? 0 : soon;
  const std::uint32_t have = tokens(aTokens, aNow);
  // Asked again only when half of it is gone, so that batches are few.
  const bool enough = have > 0 && have >= ahead / 2;
  if (enough && aTokens.mWaiting <= have) {
    return 0;
  }
  const double need = std::ceil(ahead) + aTokens.mWaiting - have;
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
  for (auto& [workspace, mine] : mWorkspaces) {
    if (mine.mAskPending && aNow - mine.mAskedAt >= kAskTimeout) {
      mine.mAskPending = false;
      mine.mUnanswered = true;
    }
    const std::uint32_t n = wanted(mine, aNow);
    if (mine.mAskPending || aNow < mine.mNextAskAt || n == 0) {
      continue;
    }
    wire::TokenAskT ask;
    ask.asker = mSelf;
    ask.workspace = workspace;
    ask.sequence = ++mSequence;
    mine.mSequence = ask.sequence;
    ask.wanted = n;
    mine.mAskPending = true;
    mine.mAskedAt = aNow;
    mine.mWanted = n;
    asks.push_back(std::move(ask));
  }
  return asks;
}

Millis
TokenCache::nextAsk(Millis aNow) const
{
  Millis next = aNow + kAskTimeout;
  for (const auto& [workspace, mine] : mWorkspaces) {
    if (mine.mAskPending) {
      next = std::min(next, mine.mAskedAt + kAskTimeout);
    } else if (wanted(mine, aNow) > 0) {
      next = std::min(next, std::max(aNow, mine.mNextAskAt));
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
  // A copy, or the answer to an ask that was given up as lost.
  const bool expected = it != mWorkspaces.end() && it->second.mAskPending &&
                        it->second.mSequence == aGrant.sequence;
  if (!expected) {
    return;
  }
  WorkspaceTokens& mine = it->second;
  mine.mAskPending = false;
  mine.mUnanswered = false;
  mine.mLastGranted = aGrant.tokens;
  mine.mLastGrantPartial = aGrant.tokens < mine.mWanted;
  mine.mNextAskAt =
    mine.mLastGrantPartial ? aNow + Millis{ aGrant.next_ask_ms } : aNow;
  const Millis expiry = aSentAt + Millis{ aGrant.ttl_ms };
  if (aGrant.tokens > 0 && aNow < expiry) {
    mine.mBatches.push_back({ aGrant.tokens, expiry });
  }
}

Millis
TokenCache::retryAfter(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mWorkspaces.find(aWorkspace);
  if (it == mWorkspaces.end() || it->second.mUnanswered) {
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
  const WorkspaceTokens& mine = it->second;
  TokenState state;
  state.mGranted = mine.mLastGranted;
  state.mWanted = mine.mWanted;
  state.mWaiting = mine.mWaiting;
  state.mSinceLastAsk = aNow - mine.mAskedAt;
  state.mAskPending = mine.mAskPending;
  state.mUnanswered = mine.mUnanswered;
  state.mDemand = demand(mine, aNow);
  return state;
}

std::uint32_t
TokenCache::availableTokens(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mWorkspaces.find(aWorkspace);
  return it == mWorkspaces.end() ? 0 : tokens(it->second, aNow);
}

}

#include "radishroad/policy/token_wallet.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Asks are for what comes within this time.
constexpr double kHorizonSeconds = 0.1;
/// Demand below so many requests within the horizon is served by single asks.
constexpr double kLeastPrefetch = 2.0;
/// Time constant of the smoothed demand.
constexpr double kDemandSeconds = 0.5;
/// An ask without a grant for so long is taken as lost.
constexpr Millis kAskTimeout{ 40 };
constexpr double kMillisPerSecond = 1000.0;
/// Requests of a workspace that may wait for tokens at any time.
constexpr std::uint32_t kAlwaysWaiting = 16;
constexpr double kNegligibleDemand = 0.01;
/// Least pause of a caller that found no token.
constexpr Millis kLeastRetryAfter{ 100 };
/// The same while the bucket's owner does not answer: about what a takeover or
/// a start of all daemons takes from then on.
constexpr Millis kNoOwnerRetryAfter{ 250 };

double
seconds(Millis aSpan)
{
  return static_cast<double>(aSpan.mCount) / kMillisPerSecond;
}

}

TokenWallet::TokenWallet(std::uint64_t aSelf)
  : mSelf(aSelf)
{
}

TokenWallet::Purse&
TokenWallet::purse(std::string_view aWorkspace)
{
  const auto it = mPurses.find(aWorkspace);
  if (it != mPurses.end()) {
    return it->second;
  }
  return mPurses.emplace(std::string(aWorkspace), Purse{}).first->second;
}

bool
TokenWallet::spend(Purse& aPurse, Millis aNow)
{
  while (!aPurse.mBatches.empty()) {
    Batch& oldest = aPurse.mBatches.front();
    if (oldest.mTokens > 0 && aNow < oldest.mExpiresAt) {
      --oldest.mTokens;
      return true;
    }
    aPurse.mBatches.pop_front();
  }
  return false;
}

std::uint32_t
TokenWallet::tokens(const Purse& aPurse, Millis aNow)
{
  std::uint32_t n = 0;
  for (const Batch& batch : aPurse.mBatches) {
    n += aNow < batch.mExpiresAt ? batch.mTokens : 0;
  }
  return n;
}

double
TokenWallet::demand(const Purse& aPurse, Millis aNow)
{
  const double passed = seconds(aNow - aPurse.mDemandAt);
  return aPurse.mDemand * std::exp(-passed / kDemandSeconds);
}

void
TokenWallet::noteDemand(Purse& aPurse, Millis aNow)
{
  // Each request adds what, decaying, sums up to one.
  aPurse.mDemand = demand(aPurse, aNow) + 1 / kDemandSeconds;
  aPurse.mDemandAt = aNow;
}

TakeVerdict
TokenWallet::take(std::string_view aWorkspace, Millis aNow)
{
  Purse& mine = purse(aWorkspace);
  noteDemand(mine, aNow);
  // Those who came before go first.
  if (mine.mWaiting == 0 && spend(mine, aNow)) {
    return TakeVerdict::Taken;
  }
  // Beyond the rate, no more wait than the next grant is likely to serve. A
  // few may always: a bucket that has just changed its owner is empty, and says
  // nothing of the rate yet.
  if (mine.mShort &&
      mine.mWaiting >= std::max(mine.mLastGranted + 1, kAlwaysWaiting)) {
    return TakeVerdict::Refused;
  }
  ++mine.mWaiting;
  return TakeVerdict::WaitForGrant;
}

TakeVerdict
TokenWallet::takeHeld(std::string_view aWorkspace, Millis aNow)
{
  Purse& mine = purse(aWorkspace);
  if (!spend(mine, aNow)) {
    return TakeVerdict::WaitForGrant;
  }
  mine.mWaiting -= std::min(mine.mWaiting, 1U);
  return TakeVerdict::Taken;
}

void
TokenWallet::dropHeld(std::string_view aWorkspace)
{
  Purse& mine = purse(aWorkspace);
  mine.mWaiting -= std::min(mine.mWaiting, 1U);
}

std::uint32_t
TokenWallet::wanted(const Purse& aPurse, Millis aNow)
{
  const double soon = demand(aPurse, aNow) * kHorizonSeconds;
  const double ahead = soon < kLeastPrefetch ? 0 : soon;
  const std::uint32_t have = tokens(aPurse, aNow);
  // Asked again only when half of it is gone, so that batches are few.
  const bool enough = have > 0 && have >= ahead / 2;
  if (enough && aPurse.mWaiting <= have) {
    return 0;
  }
  const double need = std::ceil(ahead) + aPurse.mWaiting - have;
  return static_cast<std::uint32_t>(std::max(0.0, need));
}

std::vector<wire::TokenAskT>
TokenWallet::asks(Millis aNow)
{
  std::vector<wire::TokenAskT> asks;
  std::erase_if(mPurses, [aNow](const auto& aEntry) {
    const Purse& idle = aEntry.second;
    return idle.mWaiting == 0 && tokens(idle, aNow) == 0 && !idle.mAskPending &&
           demand(idle, aNow) < kNegligibleDemand;
  });
  for (auto& [workspace, mine] : mPurses) {
    if (mine.mAskPending && aNow - mine.mAskedAt >= kAskTimeout) {
      mine.mAskPending = false;
      mine.mUnanswered = true;
    }
    const std::uint32_t n = wanted(mine, aNow);
    if (mine.mAskPending || aNow < mine.mNextAsk || n == 0) {
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
TokenWallet::nextAsk(Millis aNow) const
{
  Millis next = aNow + kAskTimeout;
  for (const auto& [workspace, mine] : mPurses) {
    if (mine.mAskPending) {
      next = std::min(next, mine.mAskedAt + kAskTimeout);
    } else if (wanted(mine, aNow) > 0) {
      next = std::min(next, std::max(aNow, mine.mNextAsk));
    }
  }
  return next;
}

void
TokenWallet::onGrant(const wire::TokenGrantT& aGrant,
                     Millis aSentAt,
                     Millis aNow)
{
  const auto it = mPurses.find(aGrant.workspace);
  // A copy, or the answer to an ask that was given up as lost.
  const bool expected = it != mPurses.end() && it->second.mAskPending &&
                        it->second.mSequence == aGrant.sequence;
  if (!expected) {
    return;
  }
  Purse& mine = it->second;
  mine.mAskPending = false;
  mine.mUnanswered = false;
  mine.mLastGranted = aGrant.tokens;
  mine.mShort = aGrant.tokens < mine.mWanted;
  mine.mNextAsk = mine.mShort ? aNow + Millis{ aGrant.next_ask_ms } : aNow;
  const Millis expiry = aSentAt + Millis{ aGrant.ttl_ms };
  if (aGrant.tokens > 0 && aNow < expiry) {
    mine.mBatches.push_back({ aGrant.tokens, expiry });
  }
}

Millis
TokenWallet::retryAfter(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mPurses.find(aWorkspace);
  if (it == mPurses.end() || it->second.mUnanswered) {
    return kNoOwnerRetryAfter;
  }
  return std::max(kLeastRetryAfter, it->second.mNextAsk - aNow);
}

TokenState
TokenWallet::state(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mPurses.find(aWorkspace);
  if (it == mPurses.end()) {
    return {};
  }
  const Purse& mine = it->second;
  TokenState state;
  state.mGranted = mine.mLastGranted;
  state.mWanted = mine.mWanted;
  state.mWaiting = mine.mWaiting;
  state.mAskedAgo = aNow - mine.mAskedAt;
  state.mAskPending = mine.mAskPending;
  state.mUnanswered = mine.mUnanswered;
  state.mDemand = demand(mine, aNow);
  return state;
}

std::uint32_t
TokenWallet::held(std::string_view aWorkspace, Millis aNow) const
{
  const auto it = mPurses.find(aWorkspace);
  return it == mPurses.end() ? 0 : tokens(it->second, aNow);
}

}

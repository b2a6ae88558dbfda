#include "radishroad/daemon/rate_limiter.h"

#include "radishroad/base/hash.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/serve_authority.h"
#include "radishroad/daemon/settings.h"

namespace radishroad {

namespace {

constexpr Millis kBucketOpeningInterval{ 50 };

/// The key of a workspace's bucket. The prefix separates it from callers' keys,
/// except for hash collisions, which are harmless.
std::uint64_t
bucketKey(const std::string& aWorkspace)
{
  return hash64("workspace-bucket/" + aWorkspace);
}

/// Finds the owner of a workspace's bucket. The cell is chosen by rendezvous
/// hash among those in which the bucket's shard has an owner; the cell of a
/// service without upstreams has none.
Ownership
findBucketOwner(const std::map<std::string, const CellState*>& aCells,
                const config::Model& aModel,
                const std::string& aWorkspace)
{
  const std::uint64_t key = bucketKey(aWorkspace);
  Ownership best;
  std::uint64_t bestHash = 0;
  for (const auto& [name, cell] : aCells) {
    const Ownership ownership = ownerOf(*cell, key);
    const std::uint64_t hash = hashPair(key, hash64(name));
    if (aModel.mServices.contains(name) && ownership.mOwner != 0 &&
        (best.mOwner == 0 || hash > bestHash)) {
      best = ownership;
      bestHash = hash;
    }
  }
  return best;
}

}

RateLimiter::RateLimiter(ControlContext& aContext,
                         const ServeAuthority& aAuthority)
  : mContext(aContext)
  , mAuthority(aAuthority)
  , mTokenCache(aContext.mSelf)
{
}

TakeResult
RateLimiter::take(const std::string& aWorkspace, bool aIsWaiting)
{
  const Millis now = mContext.mNow();
  std::lock_guard<std::mutex> lock(mMutex);
  return aIsWaiting ? mTokenCache.takeForWaiting(aWorkspace, now)
                    : mTokenCache.take(aWorkspace, now);
}

void
RateLimiter::cancelWait(const std::string& aWorkspace)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mTokenCache.cancelWait(aWorkspace);
}

Millis
RateLimiter::retryAfter(const std::string& aWorkspace) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mTokenCache.retryAfter(aWorkspace, mContext.mNow());
}

TokenState
RateLimiter::tokenState(const std::string& aWorkspace) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mTokenCache.state(aWorkspace, mContext.mNow());
}

void
RateLimiter::onConfig(const config::Model& aModel)
{
  mWorkspaces = aModel.mWorkspaces;
  const Millis now = mContext.mNow();
  std::erase_if(mBuckets, [this](const auto& aEntry) {
    return !mWorkspaces.contains(aEntry.first);
  });
  for (auto& [name, bucket] : mBuckets) {
    const config::Workspace& workspace = mWorkspaces.at(name);
    bucket.mTokens.configure(workspace.mRatePerSecond, workspace.mBurst, now);
  }
}

Ownership
RateLimiter::bucketOwner(const std::string& aWorkspace) const
{
  const config::Model* model = mContext.mFleet.model();
  if (model == nullptr) {
    return {};
  }
  return findBucketOwner(mContext.mFleet.cells(), *model, aWorkspace);
}

RateLimiter::Bucket*
RateLimiter::ownBucket(const std::string& aWorkspace)
{
  const Ownership ownership = bucketOwner(aWorkspace);
  const Millis now = mContext.mNow();
  const auto workspace = mWorkspaces.find(aWorkspace);
  const bool serves = ownership.mOwner == mContext.mSelf &&
                      mAuthority.servesKey(bucketKey(aWorkspace), now);
  if (!serves || workspace == mWorkspaces.end()) {
    // Another owner may grant tokens meanwhile, so the bucket starts empty when
    // this daemon owns it again.
    mBuckets.erase(aWorkspace);
    return nullptr;
  }
  const auto it = mBuckets.find(aWorkspace);
  if (it != mBuckets.end() && it->second.mEpoch == ownership.mEpoch) {
    return &it->second;
  }
  // Another owner may have granted tokens since the earlier epoch, so its
  // bucket is not reused.
  const config::Workspace& settings = workspace->second;
  Bucket bucket{ ownership.mEpoch,
                 WorkspaceBucket(
                   settings.mRatePerSecond, settings.mBurst, now) };
  return &mBuckets.insert_or_assign(aWorkspace, std::move(bucket))
            .first->second;
}

void
RateLimiter::onAsk(const wire::TokenAskT& aAsk)
{
  Bucket* bucket = ownBucket(aAsk.workspace);
  if (bucket == nullptr) {
    return;
  }
  wire::TokenGrantT grant = bucket->mTokens.grant(aAsk, mContext.mNow());
  if (aAsk.asker == mContext.mSelf) {
    onGrant(grant);
    return;
  }
  mContext.mSend(aAsk.asker, makeBody(std::move(grant)));
}

void
RateLimiter::onGrant(const wire::TokenGrantT& aGrant)
{
  const auto it = mSentAsks.find(aGrant.workspace);
  if (it == mSentAsks.end() || it->second.mSequence != aGrant.sequence) {
    return;
  }
  std::lock_guard<std::mutex> lock(mMutex);
  mTokenCache.onGrant(aGrant, it->second.mSentAt, mContext.mNow());
}

void
RateLimiter::tick()
{
  const Millis now = mContext.mNow();
  openBuckets(now);
  std::vector<wire::TokenAskT> asks;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    asks = mTokenCache.asks(now);
  }
  for (wire::TokenAskT& ask : asks) {
    sendAsk(std::move(ask), now);
  }
}

void
RateLimiter::openBuckets(Millis aNow)
{
  if (aNow < mNextBucketOpeningAt) {
    return;
  }
  // A bucket starts empty. Opening it at the takeover lets it fill a little
  // before the first ask arrives.
  mNextBucketOpeningAt = aNow + kBucketOpeningInterval;
  for (const auto& [name, workspace] : mWorkspaces) {
    ownBucket(name);
  }
}

void
RateLimiter::sendAsk(wire::TokenAskT aAsk, Millis aNow)
{
  mSentAsks[aAsk.workspace] = { aAsk.sequence, aNow };
  const Incarnation owner = bucketOwner(aAsk.workspace).mOwner;
  if (owner == mContext.mSelf) {
    onAsk(aAsk);
  } else if (owner != 0) {
    mContext.mSend(owner, makeBody(std::move(aAsk)));
  }
}

}

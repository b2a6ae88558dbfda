#include "radishroad/daemon/rate_duty.h"

#include "radishroad/base/hash.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/serve_authority.h"
#include "radishroad/daemon/settings.h"

namespace radishroad {

namespace {

constexpr Millis kOpeningInterval{ 50 };

/// The key that stands for a workspace's bucket. The prefix keeps it apart
/// from callers' keys in all but hash collisions, which do no harm.
std::uint64_t
bucketKey(const std::string& aWorkspace)
{
  return hash64("workspace-bucket/" + aWorkspace);
}

/// The bucket's owner in the cell that is first by rendezvous hash among those
/// whose bucket's shard has an owner: a service without upstreams has none.
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

RateDuty::RateDuty(ControlContext& aContext, const ServeAuthority& aAuthority)
  : mContext(aContext)
  , mAuthority(aAuthority)
  , mWallet(aContext.mSelf)
{
}

TakeResult
RateDuty::take(const std::string& aWorkspace, bool aHeld)
{
  const Millis now = mContext.mNow();
  std::lock_guard<std::mutex> lock(mMutex);
  return aHeld ? mWallet.takeHeld(aWorkspace, now)
               : mWallet.take(aWorkspace, now);
}

void
RateDuty::dropHeld(const std::string& aWorkspace)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mWallet.dropHeld(aWorkspace);
}

Millis
RateDuty::retryAfter(const std::string& aWorkspace) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mWallet.retryAfter(aWorkspace, mContext.mNow());
}

TokenState
RateDuty::tokenState(const std::string& aWorkspace) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mWallet.state(aWorkspace, mContext.mNow());
}

void
RateDuty::onConfig(const config::Model& aModel)
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
RateDuty::bucketOwner(const std::string& aWorkspace) const
{
  const config::Model* model = mContext.mFleet.model();
  if (model == nullptr) {
    return {};
  }
  return findBucketOwner(mContext.mFleet.cells(), *model, aWorkspace);
}

RateDuty::Bucket*
RateDuty::ownBucket(const std::string& aWorkspace)
{
  const Ownership ownership = bucketOwner(aWorkspace);
  const Millis now = mContext.mNow();
  const auto workspace = mWorkspaces.find(aWorkspace);
  const bool serves = ownership.mOwner == mContext.mSelf &&
                      mAuthority.servesKey(bucketKey(aWorkspace), now);
  if (!serves || workspace == mWorkspaces.end()) {
    // Another owner may grant meanwhile: the next start is an empty one.
    mBuckets.erase(aWorkspace);
    return nullptr;
  }
  const auto it = mBuckets.find(aWorkspace);
  if (it != mBuckets.end() && it->second.mEpoch == ownership.mEpoch) {
    return &it->second;
  }
  // A bucket of an earlier epoch may have had another owner since.
  const config::Workspace& settings = workspace->second;
  Bucket bucket{ ownership.mEpoch,
                 WorkspaceBucket(
                   settings.mRatePerSecond, settings.mBurst, now) };
  return &mBuckets.insert_or_assign(aWorkspace, std::move(bucket))
            .first->second;
}

void
RateDuty::onAsk(const wire::TokenAskT& aAsk)
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
RateDuty::onGrant(const wire::TokenGrantT& aGrant)
{
  const auto it = mSentAsks.find(aGrant.workspace);
  if (it == mSentAsks.end() || it->second.mSequence != aGrant.sequence) {
    return;
  }
  std::lock_guard<std::mutex> lock(mMutex);
  mWallet.onGrant(aGrant, it->second.mSentAt, mContext.mNow());
}

void
RateDuty::tick()
{
  const Millis now = mContext.mNow();
  openBuckets(now);
  std::vector<wire::TokenAskT> asks;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    asks = mWallet.asks(now);
  }
  for (wire::TokenAskT& ask : asks) {
    sendAsk(std::move(ask), now);
  }
}

void
RateDuty::openBuckets(Millis aNow)
{
  if (aNow < mNextOpening) {
    return;
  }
  // A bucket starts empty; opened at the takeover and not at the first ask,
  // it has filled a little by then.
  mNextOpening = aNow + kOpeningInterval;
  for (const auto& [name, workspace] : mWorkspaces) {
    ownBucket(name);
  }
}

void
RateDuty::sendAsk(wire::TokenAskT aAsk, Millis aNow)
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

#include "radishroad/daemon/serve_authority.h"

#include "radishroad/daemon/fleet_view.h"

namespace radishroad {

namespace {

/// Time until a request that cannot run yet is checked again.
constexpr Millis kRecheckInterval{ 10 };
/// Time until a running request of an unkeyed service, which any upstream may
/// run, is checked again.
constexpr Millis kUnkeyedRecheckInterval{ 60000 };

ServeDecision
refuse(NotRunReason aReason, Epoch aEpoch, Millis aRetryAt)
{
  ServeDecision decision;
  decision.mRefusal = aReason;
  decision.mEpoch = aEpoch;
  decision.mRetryAt = aRetryAt;
  return decision;
}

}

ServeAuthority::ServeAuthority(const FleetViewStore& aViews,
                               std::string aService,
                               std::string aZone,
                               Incarnation aSelf)
  : mViews(aViews)
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mSelf(aSelf)
{
}

void
ServeAuthority::setLeaseUntil(Millis aUntil)
{
  mLeaseUntil.store(aUntil.mCount);
}

Millis
ServeAuthority::leaseUntil() const
{
  return { mLeaseUntil.load() };
}

void
ServeAuthority::setTakeoverGuard(const TakeoverGuard& aGuard)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTakeoverGuard = aGuard;
}

Millis
ServeAuthority::serveFrom(const CellState& aCell, std::uint64_t aKeyHash) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mTakeoverGuard.serveFrom(aCell, aKeyHash);
}

std::optional<GrantableShards>
ServeAuthority::grantableShards(std::uint64_t aUpstreamIncarnation,
                                Millis aNow) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  const CellState* cell = view->cell(mService);
  const Millis until = leaseUntil();
  if (cell == nullptr || until <= aNow) {
    return std::nullopt;
  }
  const auto self = cell->mMembers.find(mSelf);
  if (self == cell->mMembers.end() ||
      self->second.mUpstreamIncarnation != aUpstreamIncarnation) {
    // The epochs in the state belong to an earlier incarnation of the upstream.
    return std::nullopt;
  }
  GrantableShards grantableShards;
  grantableShards.mLayout = layoutOf(*cell);
  grantableShards.mValidUntil = until;
  const std::lock_guard<std::mutex> lock(mMutex);
  for (Shard shard = 0; shard < kShardCount; ++shard) {
    const Ownership& ownership = cell->mShards[shard];
    if (ownership.mOwner == mSelf && mTakeoverGuard.serveFrom(shard) <= aNow) {
      grantableShards.mShards.push_back({ shard, ownership.mEpoch });
    }
  }
  return grantableShards;
}

Epoch
ServeAuthority::epochOf(Shard aShard) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  const CellState* cell = view->cell(mService);
  const bool own = cell != nullptr && aShard < kShardCount &&
                   cell->mShards[aShard].mOwner == mSelf;
  return own ? cell->mShards[aShard].mEpoch : 0;
}

bool
ServeAuthority::isUnkeyed(const FleetView& aView) const
{
  if (aView.mModel == nullptr) {
    return false;
  }
  const auto it = aView.mModel->mServices.find(mService);
  return it != aView.mModel->mServices.end() && !it->second.mKeyed;
}

ServeDecision
ServeAuthority::decide(const ForwardRequest& aRequest, Millis aNow) const
{
  const Millis soon = aNow + kRecheckInterval;
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (isUnkeyed(*view)) {
    ServeDecision decision;
    decision.mRefusal = view->zoneOutage(mZone) == nullptr
                          ? NotRunReason::None
                          : NotRunReason::Draining;
    decision.mServeUntil = aNow + kUnkeyedRecheckInterval;
    return decision;
  }
  if (!view->mayServeKeys(mZone, aNow)) {
    return refuse(NotRunReason::Draining, 0, aNow);
  }
  const CellState* cell = view->cell(mService);
  if (cell == nullptr || cell->mNextOffset < aRequest.view_offset) {
    // The sender has read more of the log than this daemon has folded so far.
    return refuse(NotRunReason::LeaseLapsed, 0, soon);
  }
  const Ownership ownership = ownerOf(*cell, aRequest.key_hash);
  if (ownership.mOwner != mSelf) {
    return refuse(NotRunReason::NotOwner, ownership.mEpoch, soon);
  }
  const Millis until = leaseUntil();
  if (until <= aNow) {
    return refuse(NotRunReason::LeaseLapsed, ownership.mEpoch, soon);
  }
  const Millis from = serveFrom(*cell, aRequest.key_hash);
  if (from > aNow) {
    return refuse(NotRunReason::LeaseLapsed, ownership.mEpoch, from);
  }
  ServeDecision decision;
  decision.mEpoch = ownership.mEpoch;
  decision.mServeUntil = until;
  return decision;
}

bool
ServeAuthority::servesKey(std::uint64_t aKeyHash, Millis aNow) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  const CellState* cell = view->cell(mService);
  return cell != nullptr && ownerOf(*cell, aKeyHash).mOwner == mSelf &&
         leaseUntil() > aNow;
}

}

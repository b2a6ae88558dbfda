#include "radishroad/daemon/serve_authority.h"

#include "radishroad/daemon/fleet_view.h"

namespace radishroad {

namespace {

/// Pause before a request that cannot run yet is looked at again.
constexpr Millis kRecheckInterval{ 10 };

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

ServeAuthority::ServeAuthority(const ViewHolder& aViews,
                               std::string aService,
                               Incarnation aSelf)
  : mViews(aViews)
  , mService(std::move(aService))
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
ServeAuthority::setWaits(const TakeoverGuard& aGuard)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mWaits = aGuard;
}

Millis
ServeAuthority::serveFrom(const CellState& aCell, std::uint64_t aKeyHash) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mWaits.serveFrom(aCell, aKeyHash);
}

ServeDecision
ServeAuthority::decide(const ForwardRequest& aRequest, Millis aNow) const
{
  const Millis soon = aNow + kRecheckInterval;
  const std::shared_ptr<const FleetView> view = mViews.get();
  const CellState* cell = view->cell(mService);
  if (cell == nullptr || cell->mNextOffset < aRequest.view_offset) {
    // The sender knows more of the log than this daemon has folded yet.
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

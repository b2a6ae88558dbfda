#ifndef RADISHROAD_DAEMON_LEASE_MANAGER_H
#define RADISHROAD_DAEMON_LEASE_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/ownership/expulsion_controller.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness_set_manager.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Renews this daemon's lease, acts as a witness for the leases of other
/// members of its cell, and proposes to expel members whose leases have lapsed.
/// Control thread only.
class LeaseManager
{
public:
  /// Called with the time until which the lease is held.
  using LeaseFn = std::function<void(Millis)>;
  using Positions = std::vector<std::unique_ptr<wire::StreamPositionT>>;
  /// Called with the stream positions that a peer has reported, and the time at
  /// which this process sent what the peer answers; nullopt if an earlier
  /// process on this VM sent it.
  using PositionsFn = std::function<
    void(Incarnation, const Positions&, std::optional<Millis> aAskedAt)>;

  LeaseManager(ControlContext& aContext,
               LeaseFn aOnLease,
               PositionsFn aOnPositions);

  /// To be called after each change of the own cell's state.
  void onOwnCellChanged();
  void onRenew(Incarnation aFrom, const wire::RenewT& aRenew);
  void onPromise(const wire::PromiseT& aPromise);
  /// Asks a member for its stream positions, without a promise.
  void askPositions(Incarnation aMember);
  void onConsentAsk(const wire::ConsentAskT& aAsk);
  void onConsent(const wire::ConsentT& aConsent);
  void tick();
  /// Members that this daemon is a witness for and that have not renewed in
  /// time.
  std::vector<Incarnation> suspects() const;

private:
  void reportLease(Millis aNow);
  void sendRenewals(Millis aNow);
  void expelLapsedMembers(Millis aNow);
  void maintainWitnesses(Millis aNow);
  Positions positions() const;

  ControlContext& mContext;
  LeaseFn mOnLease;
  PositionsFn mOnPositions;
  LeaseHolder mLease;
  ExpulsionController mExpulsionController;
  WitnessSetManager mWitnessSetManager;
  bool mRewitnessPending = false;
};

}

#endif

#ifndef RADISHROAD_DAEMON_LEASE_DUTY_H
#define RADISHROAD_DAEMON_LEASE_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/ownership/expel_driver.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness_keeper.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Keeps this daemon's lease, witnesses for others in its cell, and proposes
/// to expel daemons whose promises have lapsed. Control thread only.
class LeaseDuty
{
public:
  /// Called with the time up to which the lease is held.
  using LeaseFn = std::function<void(Millis)>;
  using Positions = std::vector<std::unique_ptr<wire::StreamPositionT>>;
  /// Called with the stream positions of a peer.
  using PositionsFn = std::function<void(Incarnation, const Positions&)>;

  LeaseDuty(ControlContext& aContext, LeaseFn aOnLease, PositionsFn aOnPeer);

  /// The own cell was folded on.
  void onOwnCell();
  void onRenew(Incarnation aFrom, const wire::RenewT& aRenew);
  void onPromise(const wire::PromiseT& aPromise);
  void onConsentAsk(const wire::ConsentAskT& aAsk);
  void onConsent(const wire::ConsentT& aConsent);
  void tick();
  /// Members that this daemon witnesses for and has not heard from in time.
  std::vector<Incarnation> suspects() const;

private:
  void reportLease(Millis aNow);
  void sendRenewals(Millis aNow);
  void pursueLapsed(Millis aNow);
  void keepWitnesses(Millis aNow);
  Positions positions() const;

  ControlContext& mContext;
  LeaseFn mOnLease;
  PositionsFn mOnPeer;
  LeaseHolder mLease;
  ExpulsionController mDriver;
  WitnessSetManager mKeeper;
  bool mReplacing = false;
};

}

#endif

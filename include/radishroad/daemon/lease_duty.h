#ifndef RADISHROAD_DAEMON_LEASE_DUTY_H
#define RADISHROAD_DAEMON_LEASE_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/ownership/expulsion.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness.h"

#include <functional>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Keeps this daemon's lease, witnesses for others, and proposes to expel
/// daemons whose promises have lapsed. Control thread only.
class LeaseDuty
{
public:
  /// Called with the time up to which the lease is held.
  using LeaseFn = std::function<void(Millis)>;
  /// Called with the stream positions of a peer.
  using PositionsFn = std::function<void(
    Incarnation,
    const std::vector<std::unique_ptr<wire::StreamPositionT>>&)>;

  LeaseDuty(ControlContext& aContext, LeaseFn aOnLease, PositionsFn aOnPeer);

  /// The own member record may have changed.
  void onOwnCell();
  void onRenew(Incarnation aFrom, const wire::RenewT& aRenew);
  void onPromise(const wire::PromiseT& aPromise);
  void onConsentAsk(const wire::ConsentAskT& aAsk);
  void onConsent(const wire::ConsentT& aConsent);
  void tick();
  /// Incarnations of which this daemon is a witness now.
  std::size_t witnessed() const { return mWitness.size(); }

private:
  void sendRenewals(Millis aNow);
  void watchMembers(Millis aNow);
  void pursueLapsed(Millis aNow);
  void pursue(const Member& aMember, LeaseLabel aLabel, Millis aNow);
  void replaceWitnesses(Millis aNow);
  std::vector<Member> candidates(Millis aNow) const;
  std::vector<std::unique_ptr<wire::StreamPositionT>> positions() const;

  ControlContext& mContext;
  LeaseFn mOnLease;
  PositionsFn mOnPeer;
  LeaseHolder mLease;
  Witness mWitness;
  ExpulsionProposer mProposer;
  bool mReplacing = false;
  Millis mNextReplacement;
};

}

#endif

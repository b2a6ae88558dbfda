#ifndef RADISHROAD_OWNERSHIP_EXPULSION_CONTROLLER_H
#define RADISHROAD_OWNERSHIP_EXPULSION_CONTROLLER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"
#include "radishroad/ownership/expulsion_proposer.h"
#include "radishroad/ownership/promise_feedback.h"
#include "radishroad/ownership/witness.h"
#include "radishroad/state/cell_state.h"

#include <map>
#include <set>
#include <vector>

namespace radishroad {

/// The witnesses of a lost daemon are ranked. Each starts the expulsion this
/// much later than the witness ranked before it. Longer than an append and its
/// read-back take, so that usually only one expulsion is appended.
constexpr Millis kProposerRankDelay{ 150 };

/// The witness role of a daemon: answers lease renewals and consent requests,
/// and has members expelled whose promises have expired. Performs no I/O: the
/// caller sends what step() returns.
///
/// Attempts continue for leases whose expulsion this witness has already
/// consented to: once a majority has consented, the holder can never hold that
/// lease version again.
class ExpulsionController
{
public:
  explicit ExpulsionController(Incarnation aSelf);

  /// Call after each fold of the log: tracks the leases that name this daemon
  /// as a witness and drops those that the log has superseded.
  void onState(const CellState& aState, Millis aNow);

  /// Never returns Promised for a daemon that is not an active member in the
  /// state folded so far. Returns Withheld if the daemon does not receive this
  /// witness's answers.
  RenewalAnswer onRenew(const ReceivedRenewal& aRenewal, Millis aNow);
  Witness::ConsentAnswer onConsentAsk(LeaseId aLeaseId, Millis aNow);
  void onConsent(LeaseId aLeaseId,
                 Incarnation aWitness,
                 const Witness::ConsentAnswer& aAnswer,
                 Millis aNow);

  struct ConsentRequest
  {
    Incarnation mWitness = 0;
    LeaseId mLeaseId;
  };
  struct Actions
  {
    /// Requests for consent to send to other daemons.
    std::vector<ConsentRequest> mConsentRequests;
    std::vector<wire::ExpelT> mExpels;
  };
  /// aLogAvailable is false while the log is unavailable; no expulsion is
  /// proposed then.
  Actions step(const CellState& aState, bool aLogAvailable, Millis aNow);

  /// Members whose lease this witness has not seen renewed in time.
  std::set<Incarnation> suspects(Millis aNow) const;

private:
  void attemptExpulsion(const Member& aMember,
                        bool aLogAvailable,
                        Millis aNow,
                        Actions& aActions);
  Millis rankDelay(const Member& aMember) const;

  Incarnation mSelf;
  Witness mWitness;
  PromiseFeedback mPromiseFeedback;
  ExpulsionProposer mProposer;
  /// Leases that name this daemon as a witness in the state folded last.
  std::set<LeaseId> mWitnessedLeases;
  std::set<Incarnation> mActiveMembers;
  std::map<LeaseId, Millis> mSuspectedSince;
};

}

#endif

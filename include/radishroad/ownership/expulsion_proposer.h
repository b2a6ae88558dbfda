#ifndef RADISHROAD_OWNERSHIP_EXPULSION_PROPOSER_H
#define RADISHROAD_OWNERSHIP_EXPULSION_PROPOSER_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/ownership/witness.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace radishroad {

/// Interval between two rounds of consent requests to the same witnesses.
constexpr Millis kConsentRequestInterval{ 100 };
/// Interval between two appends of an expulsion for the same lease.
constexpr Millis kProposalRetryInterval{ 500 };

/// Collects the consents needed to expel lost daemons. Performs no I/O.
class ExpulsionProposer
{
public:
  explicit ExpulsionProposer(Incarnation aSelf);

  /// Starts or continues an attempt to expel a member whose promise by this
  /// witness has expired. Returns the witnesses to ask now; empty until
  /// kConsentRequestInterval has passed since the last round.
  std::vector<Incarnation> attemptExpulsion(const Member& aMember, Millis aNow);
  void onConsent(LeaseId aLeaseId, Incarnation aWitness);
  /// The witness is bound by its promise for another aWait; no witness is asked
  /// again before that.
  void onRefusal(LeaseId aLeaseId, Millis aWait, Millis aNow);
  /// The record to append once a majority has consented. Returned again for the
  /// same lease only after kProposalRetryInterval.
  std::optional<wire::ExpelT> proposal(const Member& aMember, Millis aNow);
  void remove(LeaseId aLeaseId);

private:
  struct Attempt
  {
    std::set<Incarnation> mConsents;
    Millis mNextAskAt;
    Millis mNextProposal;
  };
  Incarnation mSelf;
  std::map<LeaseId, Attempt> mAttempts;
};

}

#endif

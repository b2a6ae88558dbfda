#ifndef RADISHROAD_OWNERSHIP_EXPULSION_H
#define RADISHROAD_OWNERSHIP_EXPULSION_H

#include "radishroad/generated/records_generated.h"
#include "radishroad/ownership/witness.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace radishroad {

/// Pause between two rounds of asking the same witnesses for consent.
constexpr Millis kConsentAskInterval{ 100 };
/// Pause between two appends of an expulsion of the same label.
constexpr Millis kProposalRetry{ 500 };

/// Collects consents to expel lost daemons. Pure.
class ExpulsionProposer
{
public:
  explicit ExpulsionProposer(Incarnation aSelf);

  /// Starts, or keeps up, an attempt against a member whose promise to this
  /// witness has lapsed. Returns the witnesses to ask now (paced).
  std::vector<Incarnation> pursue(const Member& aMember, Millis aNow);
  void onConsent(LeaseLabel aLabel, Incarnation aWitness);
  /// A witness is bound for aWait more; none is asked again before.
  void onRefusal(LeaseLabel aLabel, Millis aWait, Millis aNow);
  /// The record to append once a majority has consented; then nothing more
  /// for this label until kProposalRetry has passed.
  std::optional<wire::ExpelT> proposal(const Member& aMember, Millis aNow);
  void forget(LeaseLabel aLabel);

private:
  struct Attempt
  {
    std::set<Incarnation> mConsents;
    Millis mNextAskAt;
    Millis mNextProposal;
  };
  Incarnation mSelf;
  std::map<LeaseLabel, Attempt> mAttempts;
};

}

#endif

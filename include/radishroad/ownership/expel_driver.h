#ifndef RADISHROAD_OWNERSHIP_EXPEL_DRIVER_H
#define RADISHROAD_OWNERSHIP_EXPEL_DRIVER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/records_generated.h"
#include "radishroad/ownership/expulsion.h"
#include "radishroad/ownership/promise_feedback.h"
#include "radishroad/ownership/witness.h"
#include "radishroad/state/cell_state.h"

#include <map>
#include <set>
#include <vector>

namespace radishroad {

/// Each witness of a lost daemon starts later than the one ranked before it by
/// this much: longer than an append and its read-back take, so that in the
/// common case one expulsion is appended.
constexpr Millis kRankDelay{ 150 };

/// A daemon's work as a witness: answers renewals and asks for consent, and
/// pursues the members whose promises have lapsed. Pure: the caller sends what
/// step() returns.
///
/// A label that has been consented to is pursued as well: with a majority of
/// consents given, its holder can never hold that version again.
class ExpelDriver
{
public:
  explicit ExpelDriver(Incarnation aSelf);

  /// To be called after each fold: takes note of the labels that name this
  /// daemon as witness and forgets those that no longer matter.
  void onState(const CellState& aState, Millis aNow);

  /// Promised never to a daemon that is not an active member as far as the log
  /// was folded here; Withheld from one that answers do not reach.
  RenewalAnswer onRenew(const ReceivedRenewal& aRenewal, Millis aNow);
  Witness::ConsentAnswer onConsentAsk(LeaseLabel aLabel, Millis aNow);
  void onConsent(LeaseLabel aLabel,
                 Incarnation aWitness,
                 const Witness::ConsentAnswer& aAnswer,
                 Millis aNow);

  struct Ask
  {
    Incarnation mWitness = 0;
    LeaseLabel mLabel;
  };
  struct Actions
  {
    /// Consents to ask other daemons for.
    std::vector<Ask> mAsks;
    std::vector<wire::ExpelT> mExpels;
  };
  /// aMayAppend is false while the log is out: nothing is proposed then.
  Actions step(const CellState& aState, bool aMayAppend, Millis aNow);

  /// Members that this witness has not heard from in time.
  std::set<Incarnation> suspects(Millis aNow) const;

private:
  void pursue(const Member& aMember,
              bool aMayAppend,
              Millis aNow,
              Actions& aActions);
  Millis rankDelay(const Member& aMember) const;

  Incarnation mSelf;
  Witness mWitness;
  PromiseFeedback mFeedback;
  ExpulsionProposer mProposer;
  /// Labels that name this daemon, as last folded.
  std::set<LeaseLabel> mCurrent;
  std::set<Incarnation> mActive;
  std::map<LeaseLabel, Millis> mSuspectedSince;
};

}

#endif

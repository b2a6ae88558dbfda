#ifndef RADISHROAD_POLICY_ROLLOUT_CONTROLLER_H
#define RADISHROAD_POLICY_ROLLOUT_CONTROLLER_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/rollout_evidence.h"
#include "radishroad/policy/rollout_progress.h"

#include <cstdint>
#include <optional>
#include <span>

namespace radishroad {

/// Decides how much of a service's traffic a new version gets while it replaces
/// the old one, and when the rollout is completed or rolled back.
///
/// Load pattern: steady traffic on several routes, of which the new version
/// fails or slows down a part, either at once, late, only under load or on one
/// route only. Such a version may turn bad at any time up to the deadline, so
/// the share stays small for most of the duration, is raised near the end on
/// fresh evidence only, and the rollout is completed so late that what the new
/// version receives up to the deadline stays within the limit even then.
///
/// Does no I/O and reads no clock. All times are on the clock of
/// RolloutProgress::mStartedAt.
class RolloutController
{
public:
  /// aExposeShare: part of the requests up to the deadline that a bad version
  /// may receive, 0 to 1. aExposeSlack: requests that it may receive in
  /// addition.
  RolloutController(double aExposeShare, std::uint32_t aExposeSlack);

  /// Adds the outcomes of one report. An entry without requests states that
  /// a member of its version has reported.
  void addOutcomes(std::span<const RolloutOutcomes> aOutcomes, Millis aNow);

  /// Returns the progress to store next; equal to aProgress if nothing is to
  /// change. aProgress: what the cell's state holds. May be called again with
  /// the same progress if the result could not be stored.
  RolloutProgress decide(const RolloutProgress& aProgress,
                         const RolloutObservation& aObservation,
                         Millis aNow);

  /// Why the last rollback was decided: a literal; empty before the first.
  const char* reason() const { return mReason; }

private:
  struct Plan;

  RolloutProgress start(const RolloutObservation& aObservation, Millis aNow);
  RolloutProgress rollBack(RolloutProgress aProgress, const char* aReason);
  void count(RolloutProgress& aProgress);
  Plan makePlan(const RolloutProgress& aProgress,
                const RolloutOrder& aOrder,
                Millis aNow) const;
  bool isFresh(Millis aNow) const;
  bool hasSufficientEvidence() const;
  std::uint32_t nextShare(const RolloutProgress& aProgress,
                          const Plan& aPlan,
                          Millis aNow);

  double mExposeShare;
  double mExposeSlack;
  RolloutEvidence mEvidence;
  /// Order that the evidence is about.
  std::uint64_t mOrderId = 0;
  /// Counters of the state when this controller took over.
  RolloutProgress mBase;
  std::optional<Millis> mOldReportAt;
  std::optional<Millis> mNewReportAt;
  Millis mRaisedAt;
  std::uint64_t mNewRequestsAtRaise = 0;
  const char* mReason = "";
};

}

#endif

#ifndef RADISHROAD_POLICY_ROLLOUT_EVIDENCE_H
#define RADISHROAD_POLICY_ROLLOUT_EVIDENCE_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/rollout_progress.h"

#include <cstdint>
#include <map>
#include <span>
#include <utility>

namespace radishroad {

/// Compares the outcomes of two versions on the same routes at the same time.
///
/// Outcomes are grouped by route and by second. In each group the failures and
/// slow responses of the new version are compared with the number expected if
/// both versions were equal (Mantel-Haenszel test), so that neither a moment
/// that is slow for both nor a change of the share counts against the new one.
class RolloutEvidence
{
public:
  void add(std::span<const RolloutOutcomes> aOutcomes, Millis aNow);
  /// True if the new version fails more often than the old one, over all
  /// routes or on one of them.
  bool hasMoreFailures() const;
  /// True if a part of the new version's responses takes several times as long
  /// as is usual for the old one.
  bool hasMoreSlowResponses() const;

  std::uint64_t requests() const { return mRequests; }
  std::uint64_t newRequests() const { return mNewRequests; }
  std::uint64_t newFailures() const { return mNewFailures; }
  /// Requests per second over the last seconds before aNow; 0 if unknown.
  double rate(Millis aNow) const;

private:
  struct Counts
  {
    double mRequests = 0;
    double mFailures = 0;
    std::array<double, kRolloutTimeBuckets> mTimes{};
  };
  struct Group
  {
    Counts mOld;
    Counts mNew;
  };
  /// Sums over groups of what the new version has beyond the expected.
  struct Excess
  {
    double mCount = 0;
    double mVariance = 0;
    double mRequests = 0;

    void add(double aOldHits, double aOld, double aNewHits, double aNew);
    void add(const Excess& aOther);
    bool isSignificant(double aMinCount, double aMinShare) const;
  };
  using GroupFn = void (*)(const Group&, Excess&);

  static void addFailures(const Group& aGroup, Excess& aExcess);
  static void addSlow(const Group& aGroup, Excess& aExcess);
  bool isWorse(GroupFn aFn, double aMinCount, double aMinShare) const;

  /// By route and second.
  std::map<std::pair<std::uint32_t, std::int64_t>, Group> mGroups;
  /// Requests by second.
  std::map<std::int64_t, std::uint64_t> mBySecond;
  std::uint64_t mRequests = 0;
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewFailures = 0;
};

}

#endif

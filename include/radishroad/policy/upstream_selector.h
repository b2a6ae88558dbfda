#ifndef RADISHROAD_POLICY_UPSTREAM_SELECTOR_H
#define RADISHROAD_POLICY_UPSTREAM_SELECTOR_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/queue_plan.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace radishroad {

/// Places requests that any upstream of a service may run, by expected finish.
///
/// Load pattern: upstreams of one service differ threefold in speed, and
/// neighbours slow them for moments. Taking turns would queue behind the slow
/// ones. What each gate told last, with each of its answers, and what this
/// daemon has sent there since, give the time at which a new request would be
/// done. The own availability zone is taken as long as that costs little.
///
/// With dozens of daemons each knows of most upstreams only what it heard long
/// ago, and all that took the one that looks best would take the same. So each
/// request draws a few, by what they bear (Efraimidis and Spirakis, "Weighted
/// random sampling with a reservoir", 2006), and takes the best of those
/// (Mitzenmacher, "The power of two choices", 2001). Pure.
class UpstreamSelector
{
public:
  struct Candidate
  {
    Incarnation mMember = 0;
    bool mSameZone = false;
  };

  /// What a member's gate told with an answer.
  void onStats(Incarnation aMember,
               const UpstreamStats& aStats,
               std::uint32_t aQueueLength,
               Millis aNow);
  void onSent(Incarnation aMember);
  /// aFailed: no answer, or a refusal; the member rests for a moment.
  void onEnded(Incarnation aMember, bool aFailed, Millis aNow);
  /// The candidate with the earliest expected finish; nothing if there is
  /// none. aRandom breaks ties, so that daemons do not all choose alike.
  std::optional<Incarnation> choose(std::span<const Candidate> aCandidates,
                                    std::uint64_t aRandom,
                                    Millis aNow) const;
  /// Forgets members that are not among those given.
  void keepOnly(std::span<const Candidate> aCandidates);

private:
  struct MemberState
  {
    UpstreamStats mStats;
    std::uint32_t mQueued = 0;
    Millis mStatsAt;
    /// Sent and not answered, in all and when the pace was last told.
    std::uint32_t mSent = 0;
    std::uint32_t mSentAtReport = 0;
    Millis mBackoffUntil;
  };
  double expectedMs(const MemberState& aMember, Millis aNow) const;
  /// Requests a millisecond that it bears, as far as it has told.
  static double capacityOf(const MemberState& aMember);

  std::map<Incarnation, MemberState> mMembers;
};

}

#endif

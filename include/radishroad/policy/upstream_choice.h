#ifndef RADISHROAD_POLICY_UPSTREAM_CHOICE_H
#define RADISHROAD_POLICY_UPSTREAM_CHOICE_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/work_order.h"
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
class UpstreamChoice
{
public:
  struct Candidate
  {
    Incarnation mMember = 0;
    bool mSameZone = false;
  };

  /// What a member's gate told with an answer.
  void onPace(Incarnation aMember,
              const UpstreamPace& aPace,
              std::uint32_t aQueued,
              Millis aNow);
  void onSent(Incarnation aMember);
  /// aFailed: no answer, or a refusal; the member rests for a moment.
  void onEnded(Incarnation aMember, bool aFailed, Millis aNow);
  /// The candidate with the earliest expected finish; nothing if there is
  /// none. aDraw breaks ties, so that daemons do not all choose alike.
  std::optional<Incarnation> choose(std::span<const Candidate> aCandidates,
                                    std::uint64_t aDraw,
                                    Millis aNow) const;
  /// Forgets members that are not among those given.
  void keepOnly(std::span<const Candidate> aCandidates);

private:
  struct View
  {
    UpstreamPace mPace;
    std::uint32_t mQueued = 0;
    Millis mTold;
    /// Sent and not answered, in all and when the pace was last told.
    std::uint32_t mSent = 0;
    std::uint32_t mSentWhenTold = 0;
    Millis mRestUntil;
  };
  double expectedMs(const View& aView, Millis aNow) const;
  /// Requests a millisecond that it bears, as far as it has told.
  static double capacityOf(const View& aView);

  std::map<Incarnation, View> mViews;
};

}

#endif

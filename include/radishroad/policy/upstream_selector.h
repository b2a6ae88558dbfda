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

/// Selects an upstream for requests that any upstream of a service may run, by
/// the expected completion time.
///
/// Load pattern: upstreams of one service differ threefold in speed and slow
/// down for moments under noisy neighbours, so that round robin would queue
/// requests behind the slow ones. The expected completion time is computed from
/// the statistics that each upstream's daemon sends with its answers and from
/// the requests that this daemon has sent there since. An upstream in another
/// availability zone is selected only if it saves more than the cost of
/// crossing zones.
///
/// With dozens of daemons, each has mostly outdated statistics, and all of them
/// would select the upstream that looks best (herding). So each request samples
/// a few upstreams, weighted by capacity (Efraimidis and Spirakis, "Weighted
/// random sampling with a reservoir", 2006), and takes the best of the sample
/// (Mitzenmacher, "The power of two choices", 2001). Does no I/O and reads no
/// clock.
class UpstreamSelector
{
public:
  struct Candidate
  {
    Incarnation mMember = 0;
    bool mSameZone = false;
  };

  /// Statistics of a member's upstream, received with an answer.
  void onStats(Incarnation aMember,
               const UpstreamStats& aStats,
               std::uint32_t aQueueLength,
               Millis aNow);
  void onSent(Incarnation aMember);
  /// aFailed: the request got no answer or was refused. The member is then
  /// avoided for a short time.
  void onEnded(Incarnation aMember, bool aFailed, Millis aNow);
  /// Expected run time of a kind at the member, received with an answer;
  /// ignored if 0.
  void onKindTime(Incarnation aMember,
                  std::uint32_t aKind,
                  double aRunMs,
                  Millis aNow);
  /// A request has run, or may have. aFailed: it ended with a server error or
  /// with no answer. Members that report a sustained concurrency get a lower
  /// share of a kind while its requests fail there. The failures fade with
  /// time, so that a few requests are sent again.
  void onRun(Incarnation aMember,
             std::uint32_t aKind,
             bool aFailed,
             Millis aNow);
  /// Returns the sampled candidate with the earliest expected completion, or
  /// nothing if there are no candidates. aLargeResponse: counts what the
  /// member's link has to carry first. aRandom drives the sampling and breaks
  /// ties, so that daemons do not all select the same upstream.
  std::optional<Incarnation> choose(std::span<const Candidate> aCandidates,
                                    std::uint64_t aRandom,
                                    Millis aNow,
                                    std::uint32_t aKind = 0,
                                    bool aLargeResponse = false) const;
  /// Drops the state of all members that are not among aCandidates.
  void keepOnly(std::span<const Candidate> aCandidates);

private:
  struct KindState
  {
    double mRunMs = 0;
    Millis mRunMsAt;
    /// Fading counts of runs and of failures among them.
    double mRuns = 0;
    double mFailures = 0;
    Millis mCountedAt;
  };
  struct MemberState
  {
    UpstreamStats mStats;
    std::uint32_t mQueued = 0;
    Millis mStatsAt;
    /// Requests sent and not yet answered: now, and when mStats arrived.
    std::uint32_t mSent = 0;
    std::uint32_t mSentAtReport = 0;
    Millis mBackoffUntil;
    std::map<std::uint32_t, KindState> mKinds;
  };
  double expectedMs(const MemberState& aMember,
                    Millis aNow,
                    std::uint32_t aKind,
                    bool aLargeResponse) const;
  /// Time until a large response would be through the member's link; 0 if the
  /// member has not reported one.
  static double linkTime(const MemberState& aMember,
                         double aFreshness,
                         double aSentSinceReport,
                         double aRunMs);
  /// Slots by the sustained concurrency and its age.
  static double slotsOf(const MemberState& aMember, Millis aNow);
  /// Expected share of failures among the requests of a kind.
  static double failureShare(const MemberState& aMember,
                             std::uint32_t aKind,
                             Millis aNow);
  /// Requests a millisecond that the member can run; a default if it has sent
  /// no statistics.
  static double capacityOf(const MemberState& aMember, Millis aNow);

  std::map<Incarnation, MemberState> mMembers;
};

}

#endif

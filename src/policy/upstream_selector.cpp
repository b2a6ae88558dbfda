#include "radishroad/policy/upstream_selector.h"

#include "radishroad/base/hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace radishroad {

namespace {

/// Assumed for a member that has sent no statistics: low enough that it is
/// tried soon, high enough that it does not attract all requests at once.
constexpr double kDefaultRunMs = 30;
constexpr std::uint32_t kDefaultSlots = 4;
/// Added to the expected time of an upstream in another availability zone, so
/// that it is preferred only if it saves about this much.
constexpr double kCrossZonePenaltyMs = 12;
/// Reported queue lengths and slowness lose weight linearly over this time.
constexpr double kReportLifetimeMs = 400;
/// A member that failed a request is avoided for this time while others are
/// available.
constexpr Millis kFailureBackoff{ 500 };
/// Smaller differences in the expected time count as ties, which are broken at
/// random.
constexpr double kTieMs = 4;
/// Upstreams sampled for each request; a larger sample would herd requests to
/// the upstream that looks best.
constexpr std::size_t kSampleSize = 2;
/// Bounds what one large response sent since the report adds to the time of the
/// link: 90 KB take 72 ms on 10 Mbit/s.
constexpr double kMaxTransferMs = 80;
constexpr double kMillisPerSecond = 1000;
/// Factor on the sampling weight of upstreams in the daemon's own availability
/// zone.
constexpr double kSameZoneWeight = 2;
/// The high 53 bits of a random number fill the mantissa of a double;
/// kRandomRange is 2^53.
constexpr unsigned kRandomShift = 11;
constexpr double kRandomRange = 9007199254740992.0;

}

void
UpstreamSelector::onStats(Incarnation aMember,
                          const UpstreamStats& aStats,
                          std::uint32_t aQueueLength,
                          Millis aNow)
{
  MemberState& member = mMembers[aMember];
  member.mStats = aStats;
  member.mQueued = aQueueLength;
  member.mStatsAt = aNow;
  member.mSentAtReport = member.mSent;
}

void
UpstreamSelector::onSent(Incarnation aMember)
{
  ++mMembers[aMember].mSent;
}

void
UpstreamSelector::onEnded(Incarnation aMember, bool aFailed, Millis aNow)
{
  MemberState& member = mMembers[aMember];
  member.mSent -= std::min(member.mSent, 1U);
  member.mSentAtReport = std::min(member.mSentAtReport, member.mSent);
  member.mBackoffUntil = aFailed ? aNow + kFailureBackoff : Millis{};
}

double
UpstreamSelector::expectedMs(const MemberState& aMember,
                             Millis aNow,
                             bool aLargeResponse) const
{
  const bool hasReport = aMember.mStatsAt > Millis{};
  const double typicalRun = hasReport && aMember.mStats.mRunMs > 0
                              ? aMember.mStats.mRunMs
                              : kDefaultRunMs;
  const double slots =
    hasReport ? std::max(1U, aMember.mStats.mSlots) : kDefaultSlots;
  const double age = static_cast<double>((aNow - aMember.mStatsAt).mCount);
  const double freshness =
    hasReport ? std::max(0.0, 1 - age / kReportLifetimeMs) : 0;
  // A slowdown that was reported a while ago may have passed.
  const double slowness = 1 + (aMember.mStats.mSlowness - 1) * freshness;
  const double run = typicalRun * slowness;
  const double reportedLoad =
    freshness *
    (static_cast<double>(aMember.mStats.mRunning) + aMember.mQueued);
  const double sentSinceReport =
    aMember.mSent - aMember.mSentAtReport * freshness;
  const double ahead = reportedLoad + std::max(0.0, sentSinceReport);
  const double slotWait = std::max(0.0, ahead + 1 - slots) * run / slots;
  const double limit = aMember.mStats.mLimitPerSecond;
  // Running requests have been counted against the limit already.
  const double unsent = freshness * aMember.mQueued + sentSinceReport;
  const double limitWait =
    limit > 0 ? std::max(0.0, unsent) * kMillisPerSecond / limit : 0;
  const double wait = std::max(slotWait, limitWait);
  const double linkMs =
    aLargeResponse
      ? linkTime(aMember, freshness, std::max(0.0, sentSinceReport), run)
      : 0;
  // An upstream tends to slow down as its slots fill, even while some are free.
  const double slotMs = run * (1 + 0.25 * std::min(1.0, ahead / slots)) + wait;
  return std::max(slotMs, linkMs);
}

double
UpstreamSelector::linkTime(const MemberState& aMember,
                           double aFreshness,
                           double aSentSinceReport,
                           double aRunMs)
{
  const auto reported =
    static_cast<double>(aMember.mStats.mLargeWait.mCount) * aFreshness;
  if (reported <= 0) {
    return 0;
  }
  // Without others before it, a response takes its run and its transfer, so
  // that what exceeds the run bounds one transfer.
  const double transfer = std::clamp(reported - aRunMs, 0.0, kMaxTransferMs);
  return reported + aSentSinceReport * transfer;
}

double
UpstreamSelector::capacityOf(const MemberState& aMember)
{
  const bool hasReport =
    aMember.mStatsAt > Millis{} && aMember.mStats.mRunMs > 0;
  if (!hasReport) {
    return kDefaultSlots / kDefaultRunMs;
  }
  const double perMs =
    std::max(1U, aMember.mStats.mSlots) / aMember.mStats.mRunMs;
  const double limit = aMember.mStats.mLimitPerSecond;
  return limit > 0 ? std::min(perMs, limit / kMillisPerSecond) : perMs;
}

std::optional<Incarnation>
UpstreamSelector::choose(std::span<const Candidate> aCandidates,
                         std::uint64_t aRandom,
                         Millis aNow,
                         bool aLargeResponse) const
{
  struct Scored
  {
    Incarnation mMember = 0;
    bool mInBackoff = false;
    double mExpectedMs = 0;
    std::uint64_t mRandom = 0;
    /// The candidates with the lowest keys form the sample.
    double mSampleKey = 0;
  };
  std::vector<Scored> scores;
  scores.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    const auto it = mMembers.find(candidate.mMember);
    const MemberState member =
      it == mMembers.end() ? MemberState{} : it->second;
    Scored scored;
    scored.mMember = candidate.mMember;
    scored.mInBackoff = aNow < member.mBackoffUntil;
    scored.mExpectedMs = expectedMs(member, aNow, aLargeResponse) +
                         (candidate.mSameZone ? 0 : kCrossZonePenaltyMs);
    scored.mRandom = hashPair(aRandom, candidate.mMember);
    const double weight =
      capacityOf(member) * (candidate.mSameZone ? kSameZoneWeight : 1);
    const double uniform =
      (static_cast<double>(scored.mRandom >> kRandomShift) + 1) / kRandomRange;
    scored.mSampleKey = -std::log(uniform) / weight;
    scores.push_back(scored);
  }
  const std::size_t n = std::min(kSampleSize, scores.size());
  std::ranges::partial_sort(scores,
                            scores.begin() + static_cast<std::ptrdiff_t>(n),
                            [](const Scored& aLeft, const Scored& aRight) {
                              return aLeft.mInBackoff != aRight.mInBackoff
                                       ? !aLeft.mInBackoff
                                       : aLeft.mSampleKey < aRight.mSampleKey;
                            });
  const Scored* best = nullptr;
  for (const Scored& scored : std::span(scores).first(n)) {
    const auto better = [&] {
      if (scored.mInBackoff != best->mInBackoff) {
        return !scored.mInBackoff;
      }
      const double gap = scored.mExpectedMs - best->mExpectedMs;
      return std::abs(gap) < kTieMs ? scored.mRandom > best->mRandom : gap < 0;
    };
    if (best == nullptr || better()) {
      best = &scored;
    }
  }
  return best != nullptr ? std::optional<Incarnation>(best->mMember)
                         : std::nullopt;
}

void
UpstreamSelector::keepOnly(std::span<const Candidate> aCandidates)
{
  std::erase_if(mMembers, [aCandidates](const auto& aEntry) {
    return std::ranges::find(aCandidates, aEntry.first, &Candidate::mMember) ==
           aCandidates.end();
  });
}

}

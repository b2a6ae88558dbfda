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
/// The reported slots replace a sustained concurrency linearly over this time,
/// which is as long as a gate needs to raise its limit to them.
constexpr double kSustainedLifetimeMs = 5000;
/// A kind's reported time is used for this time.
constexpr Millis kKindTimeLifetime{ 10000 };
/// Counts of failures fall to a third in this time.
constexpr double kFailureFadeMs = 3000;
/// Successful runs that are assumed besides the counted ones, so that a single
/// failure says little.
constexpr double kAssumedRuns = 5;
/// A failure costs a caller about as much as a retry after this time.
constexpr double kFailureCostMs = 400;
/// Least factor on the sampling weight of a failing member.
constexpr double kMinFailureWeight = 0.05;
/// Smaller shares of failures are ignored.
constexpr double kMinFailureShare = 0.03;
/// One request in so many is sent without regard to failures.
constexpr std::uint64_t kProbeInterval = 32;
constexpr std::size_t kMaxKinds = 64;

double
faded(double aCount, Millis aSince, Millis aNow)
{
  const double passed = static_cast<double>((aNow - aSince).mCount);
  return aCount * std::exp(-passed / kFailureFadeMs);
}

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

void
UpstreamSelector::onKindTime(Incarnation aMember,
                             std::uint32_t aKind,
                             double aRunMs,
                             Millis aNow)
{
  auto& kinds = mMembers[aMember].mKinds;
  if (aRunMs > 0 && (kinds.size() < kMaxKinds || kinds.contains(aKind))) {
    kinds[aKind].mRunMs = aRunMs;
    kinds[aKind].mRunMsAt = aNow;
  }
}

void
UpstreamSelector::onRun(Incarnation aMember,
                        std::uint32_t aKind,
                        bool aFailed,
                        Millis aNow)
{
  auto& kinds = mMembers[aMember].mKinds;
  if (kinds.size() >= kMaxKinds && !kinds.contains(aKind)) {
    return;
  }
  KindState& kind = kinds[aKind];
  kind.mRuns = faded(kind.mRuns, kind.mCountedAt, aNow) + 1;
  kind.mFailures =
    faded(kind.mFailures, kind.mCountedAt, aNow) + (aFailed ? 1 : 0);
  kind.mCountedAt = aNow;
}

double
UpstreamSelector::failureShare(const MemberState& aMember,
                               std::uint32_t aKind,
                               Millis aNow)
{
  const auto it = aMember.mKinds.find(aKind);
  if (aMember.mStats.mSustainedSlots == 0 || it == aMember.mKinds.end()) {
    return 0;
  }
  const KindState& kind = it->second;
  const double share =
    faded(kind.mFailures, kind.mCountedAt, aNow) /
    (faded(kind.mRuns, kind.mCountedAt, aNow) + kAssumedRuns);
  return share < kMinFailureShare ? 0 : share;
}

double
UpstreamSelector::slotsOf(const MemberState& aMember, Millis aNow)
{
  const double slots = std::max(1U, aMember.mStats.mSlots);
  const double sustained = aMember.mStats.mSustainedSlots;
  if (sustained == 0) {
    return slots;
  }
  const double age = static_cast<double>((aNow - aMember.mStatsAt).mCount);
  const double freshness = std::max(0.0, 1 - age / kSustainedLifetimeMs);
  return std::min(slots, slots + (sustained - slots) * freshness);
}

double
UpstreamSelector::expectedMs(const MemberState& aMember,
                             Millis aNow,
                             std::uint32_t aKind,
                             bool aLargeResponse) const
{
  const bool hasReport = aMember.mStatsAt > Millis{};
  const double typicalRun = hasReport && aMember.mStats.mRunMs > 0
                              ? aMember.mStats.mRunMs
                              : kDefaultRunMs;
  const double slots = hasReport ? slotsOf(aMember, aNow) : kDefaultSlots;
  const auto kind = aMember.mKinds.find(aKind);
  const bool hasKindTime = kind != aMember.mKinds.end() &&
                           kind->second.mRunMs > 0 &&
                           aNow - kind->second.mRunMsAt < kKindTimeLifetime;
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
  const double own = hasKindTime ? kind->second.mRunMs * slowness : run;
  const double slotMs = own * (1 + 0.25 * std::min(1.0, ahead / slots)) + wait;
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
UpstreamSelector::capacityOf(const MemberState& aMember, Millis aNow)
{
  const bool hasReport =
    aMember.mStatsAt > Millis{} && aMember.mStats.mRunMs > 0;
  if (!hasReport) {
    return kDefaultSlots / kDefaultRunMs;
  }
  const double perMs = slotsOf(aMember, aNow) / aMember.mStats.mRunMs;
  const double limit = aMember.mStats.mLimitPerSecond;
  return limit > 0 ? std::min(perMs, limit / kMillisPerSecond) : perMs;
}

std::optional<Incarnation>
UpstreamSelector::choose(std::span<const Candidate> aCandidates,
                         std::uint64_t aRandom,
                         Millis aNow,
                         std::uint32_t aKind,
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
  const bool isProbe = hashPair(aRandom, aKind) % kProbeInterval == 0;
  std::vector<Scored> scores;
  scores.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    const auto it = mMembers.find(candidate.mMember);
    const MemberState member =
      it == mMembers.end() ? MemberState{} : it->second;
    const double failures = isProbe ? 0 : failureShare(member, aKind, aNow);
    Scored scored;
    scored.mMember = candidate.mMember;
    scored.mInBackoff = aNow < member.mBackoffUntil;
    scored.mExpectedMs = expectedMs(member, aNow, aKind, aLargeResponse) +
                         kFailureCostMs * failures +
                         (candidate.mSameZone ? 0 : kCrossZonePenaltyMs);
    scored.mRandom = hashPair(aRandom, candidate.mMember);
    const double weight = capacityOf(member, aNow) *
                          std::max(kMinFailureWeight, 1 - failures) *
                          (candidate.mSameZone ? kSameZoneWeight : 1);
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

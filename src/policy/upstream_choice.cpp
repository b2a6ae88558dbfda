#include "radishroad/policy/upstream_choice.h"

#include "radishroad/base/hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace radishroad {

namespace {

/// Taken for a member that has told nothing yet: it is tried soon, but does
/// not draw all requests at once.
constexpr double kUnknownRunMs = 30;
constexpr std::uint32_t kUnknownSlots = 4;
/// What another availability zone must save to be worth the crossing.
constexpr double kZoneBonusMs = 12;
/// What a gate told of its queue is worth less and less from then on.
constexpr double kTellingMs = 400;
/// A member that gave no answer rests for so long while others are there.
constexpr Millis kRest{ 500 };
/// Differences below this are drawn by lot.
constexpr double kTieMs = 4;
/// How many a request draws; more would herd again to what looks best.
constexpr std::size_t kDrawn = 2;
/// How much more often an upstream of the own zone is drawn.
constexpr double kZoneWeight = 2;
/// A lot's high bits fill a double's mantissa.
constexpr unsigned kLotShift = 11;
constexpr double kLots = 9007199254740992.0;

}

void
UpstreamChoice::onPace(Incarnation aMember,
                       const UpstreamPace& aPace,
                       std::uint32_t aQueued,
                       Millis aNow)
{
  View& view = mViews[aMember];
  view.mPace = aPace;
  view.mQueued = aQueued;
  view.mTold = aNow;
  view.mSentWhenTold = view.mSent;
}

void
UpstreamChoice::onSent(Incarnation aMember)
{
  ++mViews[aMember].mSent;
}

void
UpstreamChoice::onEnded(Incarnation aMember, bool aFailed, Millis aNow)
{
  View& view = mViews[aMember];
  view.mSent -= std::min(view.mSent, 1U);
  view.mSentWhenTold = std::min(view.mSentWhenTold, view.mSent);
  view.mRestUntil = aFailed ? aNow + kRest : Millis{};
}

double
UpstreamChoice::expectedMs(const View& aView, Millis aNow) const
{
  const bool told = aView.mTold > Millis{};
  const double usual =
    told && aView.mPace.mRunMs > 0 ? aView.mPace.mRunMs : kUnknownRunMs;
  const double slots = told ? std::max(1U, aView.mPace.mSlots) : kUnknownSlots;
  const double age = static_cast<double>((aNow - aView.mTold).mCount);
  const double fresh = told ? std::max(0.0, 1 - age / kTellingMs) : 0;
  // A slow moment that was told of a while ago may have passed.
  const double slowness = 1 + (aView.mPace.mSlowness - 1) * fresh;
  const double run = usual * slowness;
  const double there =
    fresh * (static_cast<double>(aView.mPace.mRunning) + aView.mQueued);
  const double since = aView.mSent - aView.mSentWhenTold * fresh;
  const double ahead = there + std::max(0.0, since);
  const double wait = std::max(0.0, ahead + 1 - slots) * run / slots;
  // Short of its slots, a busy upstream still tends to be slower.
  return run * (1 + 0.25 * std::min(1.0, ahead / slots)) + wait;
}

double
UpstreamChoice::capacityOf(const View& aView)
{
  const bool told = aView.mTold > Millis{} && aView.mPace.mRunMs > 0;
  return told ? std::max(1U, aView.mPace.mSlots) / aView.mPace.mRunMs
              : kUnknownSlots / kUnknownRunMs;
}

std::optional<Incarnation>
UpstreamChoice::choose(std::span<const Candidate> aCandidates,
                       std::uint64_t aDraw,
                       Millis aNow) const
{
  struct Scored
  {
    Incarnation mMember = 0;
    bool mRests = false;
    double mMs = 0;
    std::uint64_t mLot = 0;
    /// The lowest are drawn.
    double mDrawn = 0;
  };
  std::vector<Scored> all;
  all.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    const auto it = mViews.find(candidate.mMember);
    const View view = it == mViews.end() ? View{} : it->second;
    Scored scored;
    scored.mMember = candidate.mMember;
    scored.mRests = aNow < view.mRestUntil;
    scored.mMs =
      expectedMs(view, aNow) + (candidate.mSameZone ? 0 : kZoneBonusMs);
    scored.mLot = hashPair(aDraw, candidate.mMember);
    const double weight =
      capacityOf(view) * (candidate.mSameZone ? kZoneWeight : 1);
    const double lot =
      (static_cast<double>(scored.mLot >> kLotShift) + 1) / kLots;
    scored.mDrawn = -std::log(lot) / weight;
    all.push_back(scored);
  }
  const std::size_t n = std::min(kDrawn, all.size());
  std::ranges::partial_sort(all,
                            all.begin() + static_cast<std::ptrdiff_t>(n),
                            [](const Scored& aLeft, const Scored& aRight) {
                              return aLeft.mRests != aRight.mRests
                                       ? !aLeft.mRests
                                       : aLeft.mDrawn < aRight.mDrawn;
                            });
  const Scored* best = nullptr;
  for (const Scored& scored : std::span(all).first(n)) {
    const auto better = [&] {
      if (scored.mRests != best->mRests) {
        return !scored.mRests;
      }
      const double gap = scored.mMs - best->mMs;
      return std::abs(gap) < kTieMs ? scored.mLot > best->mLot : gap < 0;
    };
    if (best == nullptr || better()) {
      best = &scored;
    }
  }
  return best != nullptr ? std::optional<Incarnation>(best->mMember)
                         : std::nullopt;
}

void
UpstreamChoice::keepOnly(std::span<const Candidate> aCandidates)
{
  std::erase_if(mViews, [aCandidates](const auto& aEntry) {
    return std::ranges::find(aCandidates, aEntry.first, &Candidate::mMember) ==
           aCandidates.end();
  });
}

}

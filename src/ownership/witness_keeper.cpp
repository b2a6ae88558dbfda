#include "radishroad/ownership/witness_keeper.h"

#include "radishroad/base/hash.h"
#include "radishroad/state/placement.h"

#include <algorithm>

namespace radishroad {

namespace {

bool
contains(std::span<const Incarnation> aSet, Incarnation aIncarnation)
{
  return std::ranges::find(aSet, aIncarnation) != aSet.end();
}

const Member*
findActive(const CellState& aState, Incarnation aIncarnation)
{
  const auto it = aState.mMembers.find(aIncarnation);
  const bool active =
    it != aState.mMembers.end() && it->second.mStatus == MemberStatus::Active;
  return active ? &it->second : nullptr;
}

/// Silent witnesses that may be replaced.
std::vector<Incarnation>
replaceable(const LeaseHolder& aHolder, const Member& aMember, Millis aNow)
{
  std::vector<Incarnation> silent =
    aHolder.silentWitnesses(aNow, kWitnessSilence);
  if (!aHolder.holds(aNow) || silent.size() == aMember.mWitnesses.size()) {
    silent.clear();
  }
  return silent;
}

bool
sameSet(std::span<const Incarnation> aLeft, std::span<const Incarnation> aRight)
{
  return std::ranges::is_permutation(aLeft, aRight);
}

wire::RewitnessT
makeRewitness(const Member& aMember, std::vector<Incarnation> aWitnesses)
{
  wire::RewitnessT change;
  change.incarnation = aMember.mIncarnation;
  change.base_version = aMember.mWitnessVersion;
  change.witnesses = std::move(aWitnesses);
  return change;
}

}

WitnessKeeper::WitnessKeeper(Incarnation aSelf, std::size_t aWanted)
  : mSelf(aSelf)
  , mWanted(aWanted)
{
}

std::optional<wire::RewitnessT>
WitnessKeeper::step(const CellState& aState,
                    LeaseHolder& aHolder,
                    const SuspectFn& aIsSuspect,
                    Millis aLogAnsweredAt,
                    Millis aNow)
{
  const Member* self = findActive(aState, mSelf);
  if (self == nullptr) {
    return std::nullopt;
  }
  noteLoss(aState, *self, aHolder, aNow);
  if (aNow - aLogAnsweredAt > kLogSilence) {
    return std::nullopt;
  }
  if (aHolder.changeInDoubt()) {
    return retryInDoubt(*self, aHolder, aNow);
  }
  const Millis pause =
    aHolder.holds(aNow) ? kRewitnessPause : kUrgentRewitnessPause;
  if (mayWait(aNow) || (mLastAppend && aNow - *mLastAppend < pause)) {
    return std::nullopt;
  }
  avoidUnanswered(aHolder, aNow);
  const std::vector<Incarnation> wanted =
    wantedSet(aState, *self, aHolder, aIsSuspect, aNow);
  if (sameSet(wanted, self->mWitnesses)) {
    aHolder.prepareChange({});
    return std::nullopt;
  }
  if (!wanted.empty() && !sameSet(wanted, aHolder.prepared())) {
    aHolder.prepareChange(wanted);
    mPreparedAt = aNow;
    return std::nullopt;
  }
  if (!wanted.empty() && !aHolder.preparedHolds(aNow)) {
    return std::nullopt;
  }
  mLastAppend = aNow;
  aHolder.beginChange(wanted);
  return makeRewitness(*self, wanted);
}

void
WitnessKeeper::noteLoss(const CellState& aState,
                        const Member& aMember,
                        const LeaseHolder& aHolder,
                        Millis aNow)
{
  const std::vector<Incarnation> silent = replaceable(aHolder, aMember, aNow);
  const std::vector<Incarnation>& all = aMember.mWitnesses;
  const auto lost = static_cast<std::size_t>(
    std::ranges::count_if(all, [&](Incarnation aWitness) {
      return contains(silent, aWitness) ||
             findActive(aState, aWitness) == nullptr;
    }));
  const bool enough =
    aHolder.holds(aNow) && 2 * (all.size() - lost) > all.size();
  if (lost == 0 || !enough) {
    mSpareLostSince.reset();
  } else if (!mSpareLostSince) {
    mSpareLostSince = aNow;
  }
}

bool
WitnessKeeper::mayWait(Millis aNow) const
{
  if (!mSpareLostSince) {
    return false;
  }
  const auto part = static_cast<std::int64_t>(
    hashPair(mSelf, 0) % static_cast<std::uint64_t>(kRewitnessSpread.mCount));
  return aNow - *mSpareLostSince < kRewitnessDelay + Millis{ part };
}

void
WitnessKeeper::avoidUnanswered(const LeaseHolder& aHolder, Millis aNow)
{
  std::erase_if(mAvoided,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (aNow - mPreparedAt <= kWitnessSilence) {
    return;
  }
  for (const Incarnation witness : aHolder.unansweredPrepared(aNow)) {
    mAvoided[witness] = aNow + kAvoidFor;
  }
}

std::optional<wire::RewitnessT>
WitnessKeeper::retryInDoubt(const Member& aMember,
                            const LeaseHolder& aHolder,
                            Millis aNow)
{
  if (mLastAppend && aNow - *mLastAppend < kDoubtRetry) {
    return std::nullopt;
  }
  mLastAppend = aNow;
  const std::span<const Incarnation> set = aHolder.proposed();
  return makeRewitness(aMember, { set.begin(), set.end() });
}

std::vector<Incarnation>
WitnessKeeper::wantedSet(const CellState& aState,
                         const Member& aMember,
                         const LeaseHolder& aHolder,
                         const SuspectFn& aIsSuspect,
                         Millis aNow) const
{
  const std::vector<Incarnation> silent = replaceable(aHolder, aMember, aNow);
  std::vector<Incarnation> kept;
  std::vector<Incarnation> spare;
  for (const Incarnation witness : aMember.mWitnesses) {
    if (findActive(aState, witness) == nullptr) {
      continue;
    }
    (contains(silent, witness) ? spare : kept).push_back(witness);
  }
  const std::size_t missing = mWanted - std::min(mWanted, kept.size());
  if (missing == 0) {
    return kept;
  }
  std::vector<Member> candidates;
  for (const auto& [incarnation, member] : aState.mMembers) {
    const bool suspect =
      mAvoided.contains(incarnation) || (aIsSuspect && aIsSuspect(incarnation));
    if (!suspect && !contains(aMember.mWitnesses, incarnation)) {
      candidates.push_back(member);
    }
  }
  const std::vector<Incarnation> chosen =
    chooseWitnesses(candidates, mSelf, aMember.mZone, missing);
  kept.insert(kept.end(), chosen.begin(), chosen.end());
  // A silent witness without a replacement stays: a smaller set bears fewer
  // losses.
  for (const Incarnation witness : spare) {
    if (kept.size() < mWanted) {
      kept.push_back(witness);
    }
  }
  return kept;
}

}

#include "radishroad/ownership/witness_set_manager.h"

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

/// Unresponsive witnesses that may be replaced.
std::vector<Incarnation>
findReplaceable(const LeaseHolder& aHolder, const Member& aMember, Millis aNow)
{
  std::vector<Incarnation> unresponsive =
    aHolder.unresponsiveWitnesses(aNow, kWitnessTimeout);
  if (!aHolder.holds(aNow) ||
      unresponsive.size() == aMember.mWitnesses.size()) {
    unresponsive.clear();
  }
  return unresponsive;
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

WitnessSetManager::WitnessSetManager(Incarnation aSelf,
                                     std::size_t aTargetCount)
  : mSelf(aSelf)
  , mTargetCount(aTargetCount)
{
}

std::optional<wire::RewitnessT>
WitnessSetManager::step(const CellState& aState,
                        LeaseHolder& aHolder,
                        const SuspectFn& aIsSuspect,
                        Millis aLogAnsweredAt,
                        Millis aNow)
{
  const Member* self = findActive(aState, mSelf);
  if (self == nullptr) {
    return std::nullopt;
  }
  updateLossTimer(aState, *self, aHolder, aNow);
  if (aNow - aLogAnsweredAt > kLogReadTimeout) {
    return std::nullopt;
  }
  if (aHolder.changeInDoubt()) {
    return retryChangeInDoubt(*self, aHolder, aNow);
  }
  const Millis pause =
    aHolder.holds(aNow) ? kMinRewitnessInterval : kUrgentRewitnessInterval;
  if (mayDeferReplacement(aNow) ||
      (mLastAppend && aNow - *mLastAppend < pause)) {
    return std::nullopt;
  }
  excludeUnresponsiveCandidates(aHolder, aNow);
  const std::vector<Incarnation> targetSet =
    targetWitnesses(aState, *self, aHolder, aIsSuspect, aNow);
  if (sameSet(targetSet, self->mWitnesses)) {
    aHolder.prepareChange({});
    return std::nullopt;
  }
  if (!targetSet.empty() && !sameSet(targetSet, aHolder.prepared())) {
    aHolder.prepareChange(targetSet);
    mPreparedAt = aNow;
    return std::nullopt;
  }
  if (!targetSet.empty() && !aHolder.preparedSetHoldsLease(aNow)) {
    return std::nullopt;
  }
  mLastAppend = aNow;
  aHolder.beginChange(targetSet);
  return makeRewitness(*self, targetSet);
}

void
WitnessSetManager::updateLossTimer(const CellState& aState,
                                   const Member& aMember,
                                   const LeaseHolder& aHolder,
                                   Millis aNow)
{
  const std::vector<Incarnation> unresponsive =
    findReplaceable(aHolder, aMember, aNow);
  const std::vector<Incarnation>& all = aMember.mWitnesses;
  const auto lost = static_cast<std::size_t>(
    std::ranges::count_if(all, [&](Incarnation aWitness) {
      return contains(unresponsive, aWitness) ||
             findActive(aState, aWitness) == nullptr;
    }));
  const bool majorityAnswers =
    aHolder.holds(aNow) && 2 * (all.size() - lost) > all.size();
  if (lost == 0 || !majorityAnswers) {
    mNonUrgentLossSince.reset();
  } else if (!mNonUrgentLossSince) {
    mNonUrgentLossSince = aNow;
  }
}

bool
WitnessSetManager::mayDeferReplacement(Millis aNow) const
{
  if (!mNonUrgentLossSince) {
    return false;
  }
  const auto jitter = static_cast<std::int64_t>(
    hashPair(mSelf, 0) % static_cast<std::uint64_t>(kRewitnessJitter.mCount));
  return aNow - *mNonUrgentLossSince < kRewitnessDelay + Millis{ jitter };
}

void
WitnessSetManager::excludeUnresponsiveCandidates(const LeaseHolder& aHolder,
                                                 Millis aNow)
{
  std::erase_if(mExcludedUntil,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  if (aNow - mPreparedAt <= kWitnessTimeout) {
    return;
  }
  for (const Incarnation witness : aHolder.unresponsiveNewWitnesses(aNow)) {
    mExcludedUntil[witness] = aNow + kCandidateExclusionTime;
  }
}

std::optional<wire::RewitnessT>
WitnessSetManager::retryChangeInDoubt(const Member& aMember,
                                      const LeaseHolder& aHolder,
                                      Millis aNow)
{
  if (mLastAppend && aNow - *mLastAppend < kInDoubtRetryInterval) {
    return std::nullopt;
  }
  mLastAppend = aNow;
  const std::span<const Incarnation> set = aHolder.proposed();
  return makeRewitness(aMember, { set.begin(), set.end() });
}

std::vector<Incarnation>
WitnessSetManager::targetWitnesses(const CellState& aState,
                                   const Member& aMember,
                                   const LeaseHolder& aHolder,
                                   const SuspectFn& aIsSuspect,
                                   Millis aNow) const
{
  const std::vector<Incarnation> unresponsive =
    findReplaceable(aHolder, aMember, aNow);
  std::vector<Incarnation> kept;
  std::vector<Incarnation> fallback;
  for (const Incarnation witness : aMember.mWitnesses) {
    if (findActive(aState, witness) == nullptr) {
      continue;
    }
    (contains(unresponsive, witness) ? fallback : kept).push_back(witness);
  }
  const std::size_t missing =
    mTargetCount - std::min(mTargetCount, kept.size());
  if (missing == 0) {
    return kept;
  }
  std::vector<Member> candidates;
  for (const auto& [incarnation, member] : aState.mMembers) {
    const bool suspect = mExcludedUntil.contains(incarnation) ||
                         (aIsSuspect && aIsSuspect(incarnation));
    if (!suspect && !contains(aMember.mWitnesses, incarnation)) {
      candidates.push_back(member);
    }
  }
  const std::vector<Incarnation> chosen =
    chooseWitnesses(candidates, mSelf, aMember.mZone, missing);
  kept.insert(kept.end(), chosen.begin(), chosen.end());
  // An unresponsive witness without a replacement stays in the set, because a
  // smaller set tolerates fewer losses.
  for (const Incarnation witness : fallback) {
    if (kept.size() < mTargetCount) {
      kept.push_back(witness);
    }
  }
  return kept;
}

}

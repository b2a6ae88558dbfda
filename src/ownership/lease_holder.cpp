#include "radishroad/ownership/lease_holder.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace radishroad {

namespace {

constexpr Millis kNoExpiry{ std::numeric_limits<std::int64_t>::max() };

bool
contains(std::span<const Incarnation> aSet, Incarnation aIncarnation)
{
  return std::find(aSet.begin(), aSet.end(), aIncarnation) != aSet.end();
}

}

LeaseHolder::LeaseHolder(Incarnation aSelf)
  : mSelf(aSelf)
{
}

LeaseHolder::WitnessSet
LeaseHolder::makeSet(std::uint32_t aVersion,
                     std::span<const Incarnation> aWitnesses)
{
  WitnessSet set;
  set.mVersion = aVersion;
  set.mWitnesses.assign(aWitnesses.begin(), aWitnesses.end());
  return set;
}

/// A promise names the version of a witness set, not its members. Promises
/// collected for a version therefore bind their witnesses whichever set that
/// version turns out to have.
void
LeaseHolder::mergePromises(WitnessSet& aTo, const WitnessSet& aFrom)
{
  if (aTo.mVersion != aFrom.mVersion) {
    return;
  }
  for (const auto& [witness, until] : aFrom.mPromisedUntil) {
    if (contains(aTo.mWitnesses, witness)) {
      Millis& promised = aTo.mPromisedUntil[witness];
      promised = std::max(promised, until);
    }
  }
}

void
LeaseHolder::adopt(std::uint32_t aVersion,
                   std::span<const Incarnation> aWitnesses)
{
  if (mAdopted && aVersion <= mCurrent.mVersion) {
    return;
  }
  WitnessSet adopted = makeSet(aVersion, aWitnesses);
  if (mProposed) {
    mergePromises(adopted, *mProposed);
  }
  if (mPrepared) {
    mergePromises(adopted, *mPrepared);
  }
  mCurrent = std::move(adopted);
  mProposed.reset();
  mPrepared.reset();
  mAdopted = true;
  mLastRenewal.reset();
  mAdoptedAt.reset();
}

void
LeaseHolder::beginChange(std::span<const Incarnation> aNewWitnesses)
{
  if (!mAdopted || mProposed) {
    return;
  }
  mProposed = makeSet(mCurrent.mVersion + 1, aNewWitnesses);
  if (mPrepared) {
    mergePromises(*mProposed, *mPrepared);
    mPrepared.reset();
  }
  mLastRenewal.reset();
}

void
LeaseHolder::prepareChange(std::span<const Incarnation> aNewWitnesses)
{
  if (aNewWitnesses.empty()) {
    mPrepared.reset();
    return;
  }
  if (!mAdopted || mProposed) {
    return;
  }
  WitnessSet prepared = makeSet(mCurrent.mVersion + 1, aNewWitnesses);
  if (mPrepared) {
    mergePromises(prepared, *mPrepared);
  }
  mPrepared = std::move(prepared);
  mLastRenewal.reset();
}

std::span<const Incarnation>
LeaseHolder::prepared() const
{
  if (!mPrepared) {
    return {};
  }
  return mPrepared->mWitnesses;
}

bool
LeaseHolder::preparedSetHoldsLease(Millis aNow) const
{
  return mPrepared && quorumHeldUntil(*mPrepared) > aNow &&
         unresponsiveNewWitnesses(aNow).empty();
}

std::vector<Incarnation>
LeaseHolder::unresponsiveNewWitnesses(Millis aNow) const
{
  std::vector<Incarnation> unresponsive;
  if (!mPrepared) {
    return unresponsive;
  }
  for (const Incarnation witness : mPrepared->mWitnesses) {
    const auto it = mPrepared->mPromisedUntil.find(witness);
    const bool answered =
      it != mPrepared->mPromisedUntil.end() && it->second > aNow;
    if (!answered && !contains(mCurrent.mWitnesses, witness)) {
      unresponsive.push_back(witness);
    }
  }
  return unresponsive;
}

LeaseHolder::WitnessSet*
LeaseHolder::findSet(std::uint32_t aVersion)
{
  if (mAdopted && mCurrent.mVersion == aVersion) {
    return &mCurrent;
  }
  if (mProposed && mProposed->mVersion == aVersion) {
    return &*mProposed;
  }
  if (mPrepared && mPrepared->mVersion == aVersion) {
    return &*mPrepared;
  }
  return nullptr;
}

void
LeaseHolder::abandonChange()
{
  mProposed.reset();
}

bool
LeaseHolder::changeInDoubt() const
{
  return mProposed.has_value();
}

std::span<const Incarnation>
LeaseHolder::proposed() const
{
  if (!mProposed) {
    return {};
  }
  return mProposed->mWitnesses;
}

void
LeaseHolder::onPromise(Incarnation aWitness,
                       std::uint32_t aVersion,
                       Millis aSentAt,
                       Millis aNow)
{
  if (aNow - aSentAt > kMaxPromiseAge) {
    return;
  }
  WitnessSet* set = findSet(aVersion);
  // A daemon cannot be its own witness.
  if (aWitness == mSelf || set == nullptr ||
      !contains(set->mWitnesses, aWitness)) {
    return;
  }
  const Millis until = aSentAt + kLeaseTtl;
  const auto [it, added] = set->mPromisedUntil.try_emplace(aWitness, until);
  if (!added) {
    it->second = std::max(it->second, until);
  }
}

void
LeaseHolder::onWithheld(Incarnation aWitness,
                        std::uint32_t aVersion,
                        Millis aSentAt)
{
  WitnessSet* set = findSet(aVersion);
  if (set != nullptr) {
    Millis& sentAt = set->mWithheldSentAt[aWitness];
    sentAt = std::max(sentAt, aSentAt);
  }
}

std::vector<LeaseHolder::Renewal>
LeaseHolder::renewals(Millis aNow)
{
  std::vector<Renewal> due;
  if (!mAdopted || (mLastRenewal && aNow - *mLastRenewal < kRenewInterval)) {
    return due;
  }
  mLastRenewal = aNow;
  if (!mAdoptedAt) {
    mAdoptedAt = aNow;
  }
  const auto add = [&due](const WitnessSet& aSet) {
    for (const Incarnation witness : aSet.mWitnesses) {
      due.push_back({ witness, aSet.mVersion, ackedSentAt(aSet, witness) });
    }
  };
  add(mCurrent);
  if (mProposed) {
    add(*mProposed);
  } else if (mPrepared) {
    add(*mPrepared);
  }
  return due;
}

Millis
LeaseHolder::ackedSentAt(const WitnessSet& aSet, Incarnation aWitness)
{
  Millis sentAt;
  const auto withheld = aSet.mWithheldSentAt.find(aWitness);
  if (withheld != aSet.mWithheldSentAt.end()) {
    sentAt = withheld->second;
  }
  const auto promised = aSet.mPromisedUntil.find(aWitness);
  if (promised != aSet.mPromisedUntil.end()) {
    sentAt = std::max(sentAt, promised->second - kLeaseTtl);
  }
  return sentAt;
}

Millis
LeaseHolder::quorumHeldUntil(const WitnessSet& aSet)
{
  if (aSet.mWitnesses.empty()) {
    return kNoExpiry;
  }
  std::vector<Millis> expiries;
  for (const auto& [witness, until] : aSet.mPromisedUntil) {
    expiries.push_back(until);
  }
  // An expulsion needs floor(n/2) + 1 consents, so any ceil(n/2) witnesses
  // include at least one whose consent would be missing. For sets of odd size
  // that is a majority.
  const std::size_t needed = (aSet.mWitnesses.size() + 1) / 2;
  if (expiries.size() < needed) {
    return {};
  }
  std::sort(expiries.begin(), expiries.end(), std::greater<>());
  return expiries[needed - 1];
}

Millis
LeaseHolder::heldUntil(Millis aNow) const
{
  if (!mAdopted) {
    return aNow;
  }
  Millis until = quorumHeldUntil(mCurrent);
  if (mProposed) {
    until = std::min(until, quorumHeldUntil(*mProposed));
  }
  if (until == kNoExpiry) {
    return aNow + kLeaseTtl;
  }
  return until;
}

bool
LeaseHolder::holds(Millis aNow) const
{
  return heldUntil(aNow) > aNow;
}

std::vector<Incarnation>
LeaseHolder::unresponsiveWitnesses(Millis aNow, Millis aTimeout) const
{
  std::vector<Incarnation> unresponsive;
  if (!mAdoptedAt) {
    return unresponsive;
  }
  for (const Incarnation witness : mCurrent.mWitnesses) {
    Millis last = *mAdoptedAt;
    const auto it = mCurrent.mPromisedUntil.find(witness);
    if (it != mCurrent.mPromisedUntil.end()) {
      last = std::max(last, it->second - kLeaseTtl);
    }
    if (aNow - last > aTimeout) {
      unresponsive.push_back(witness);
    }
  }
  return unresponsive;
}

}

#include "radishroad/ownership/lease_holder.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace radishroad {

namespace {

constexpr Millis kForever{ std::numeric_limits<std::int64_t>::max() };

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

void
LeaseHolder::adopt(std::uint32_t aVersion,
                   std::span<const Incarnation> aWitnesses)
{
  if (mAdopted && aVersion <= mCurrent.mVersion) {
    return;
  }
  Set adopted;
  adopted.mVersion = aVersion;
  adopted.mWitnesses.assign(aWitnesses.begin(), aWitnesses.end());
  // A promise names the version, not the set, so those already collected for
  // the version that was proposed bind the same witnesses now.
  if (mProposed && mProposed->mVersion == aVersion) {
    for (const auto& [witness, until] : mProposed->mPromisedUntil) {
      if (contains(aWitnesses, witness)) {
        adopted.mPromisedUntil[witness] = until;
      }
    }
  }
  mCurrent = std::move(adopted);
  mProposed.reset();
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
  Set proposed;
  proposed.mVersion = mCurrent.mVersion + 1;
  proposed.mWitnesses.assign(aNewWitnesses.begin(), aNewWitnesses.end());
  mProposed = std::move(proposed);
  mLastRenewal.reset();
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
                       Millis aSentAt)
{
  Set* set = nullptr;
  if (mAdopted && mCurrent.mVersion == aVersion) {
    set = &mCurrent;
  } else if (mProposed && mProposed->mVersion == aVersion) {
    set = &*mProposed;
  }
  // A daemon is no witness of its own.
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
  for (const Incarnation witness : mCurrent.mWitnesses) {
    due.push_back({ witness, mCurrent.mVersion });
  }
  if (mProposed) {
    for (const Incarnation witness : mProposed->mWitnesses) {
      due.push_back({ witness, mProposed->mVersion });
    }
  }
  return due;
}

Millis
LeaseHolder::majorityUntil(const Set& aSet)
{
  if (aSet.mWitnesses.empty()) {
    return kForever;
  }
  std::vector<Millis> untils;
  for (const auto& [witness, until] : aSet.mPromisedUntil) {
    untils.push_back(until);
  }
  // An expulsion needs floor(n/2) + 1 consents, so any ceil(n/2) witnesses
  // include one whose consent it lacks. For odd sets that is a majority.
  const std::size_t needed = (aSet.mWitnesses.size() + 1) / 2;
  if (untils.size() < needed) {
    return {};
  }
  std::sort(untils.begin(), untils.end(), std::greater<>());
  return untils[needed - 1];
}

Millis
LeaseHolder::heldUntil(Millis aNow) const
{
  if (!mAdopted) {
    return aNow;
  }
  Millis until = majorityUntil(mCurrent);
  if (mProposed) {
    until = std::min(until, majorityUntil(*mProposed));
  }
  if (until == kForever) {
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
LeaseHolder::silentWitnesses(Millis aNow, Millis aFor) const
{
  std::vector<Incarnation> silent;
  if (!mAdoptedAt) {
    return silent;
  }
  for (const Incarnation witness : mCurrent.mWitnesses) {
    Millis last = *mAdoptedAt;
    const auto it = mCurrent.mPromisedUntil.find(witness);
    if (it != mCurrent.mPromisedUntil.end()) {
      last = std::max(last, it->second - kLeaseTtl);
    }
    if (aNow - last > aFor) {
      silent.push_back(witness);
    }
  }
  return silent;
}

}

#include "radishroad/ownership/witness.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A promise given now binds the witness until this time. That is longer than
/// the holder relies on it, since the holder counts from the earlier send of
/// its renewal.
Millis
promiseEnd(Millis aNow)
{
  return aNow + kLeaseTtl + kClockDriftMargin;
}

}

Millis
Witness::Entry::boundUntil() const
{
  Millis until = mBoundUntil;
  for (const OutstandingPromise& promise : mOutstanding) {
    until = std::max(until, promise.mBoundUntil);
  }
  return until;
}

void
Witness::onAcknowledgement(const ReceivedRenewal& aRenewal)
{
  const auto it = mEntries.find(aRenewal.mLeaseId);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  std::erase_if(entry.mOutstanding, [&](const OutstandingPromise& aPromise) {
    if (aPromise.mSentAt <= aRenewal.mAckedSentAt) {
      entry.mBoundUntil = std::max(entry.mBoundUntil, aPromise.mBoundUntil);
      return true;
    }
    return aRenewal.mSentAt - aPromise.mSentAt > kMaxPromiseAge;
  });
}

bool
Witness::onRenew(const ReceivedRenewal& aRenewal, Millis aNow)
{
  onAcknowledgement(aRenewal);
  Entry& entry = mEntries[aRenewal.mLeaseId];
  if (entry.mConsented) {
    return false;
  }
  entry.mOutstanding.push_back({ aRenewal.mSentAt, promiseEnd(aNow) });
  return true;
}

void
Witness::expectRenewal(LeaseId aLeaseId, Millis aNow)
{
  mEntries.try_emplace(aLeaseId, Entry{ promiseEnd(aNow), false, {} });
}

Witness::ConsentAnswer
Witness::onConsentAsk(LeaseId aLeaseId, Millis aNow)
{
  Entry& entry = mEntries[aLeaseId];
  const Millis until = entry.boundUntil();
  if (!entry.mConsented && until > aNow) {
    return { false, until - aNow };
  }
  entry.mConsented = true;
  return { true, {} };
}

std::vector<LeaseId>
Witness::lapsed(Millis aNow) const
{
  std::vector<LeaseId> leaseIds;
  for (const auto& [leaseId, entry] : mEntries) {
    if (!entry.mConsented && entry.boundUntil() <= aNow) {
      leaseIds.push_back(leaseId);
    }
  }
  return leaseIds;
}

std::vector<LeaseId>
Witness::suspects(Millis aNow) const
{
  std::vector<LeaseId> leaseIds;
  for (const auto& [leaseId, entry] : mEntries) {
    if (entry.mConsented || entry.boundUntil() <= aNow) {
      leaseIds.push_back(leaseId);
    }
  }
  return leaseIds;
}

void
Witness::remove(LeaseId aLeaseId)
{
  mEntries.erase(aLeaseId);
}

void
Witness::removeIf(const std::function<bool(LeaseId)>& aIsStale)
{
  std::erase_if(mEntries, [&aIsStale](const auto& aEntry) {
    return aIsStale(aEntry.first);
  });
}

std::size_t
Witness::size() const
{
  return mEntries.size();
}

}

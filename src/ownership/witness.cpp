#include "radishroad/ownership/witness.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A promise given now binds until here; longer than the holder counts on,
/// since the holder counts from the earlier send of its renewal.
Millis
bindUntil(Millis aNow)
{
  return aNow + kLeaseTtl + kDriftMargin;
}

}

Millis
Witness::Entry::boundUntil() const
{
  Millis until = mBoundUntil;
  for (const Outstanding& promise : mOutstanding) {
    until = std::max(until, promise.mBoundUntil);
  }
  return until;
}

void
Witness::onFeedback(const ReceivedRenewal& aRenewal)
{
  const auto it = mEntries.find(aRenewal.mLabel);
  if (it == mEntries.end()) {
    return;
  }
  Entry& entry = it->second;
  std::erase_if(entry.mOutstanding, [&](const Outstanding& aPromise) {
    if (aPromise.mSentAt <= aRenewal.mHeardSentAt) {
      entry.mBoundUntil = std::max(entry.mBoundUntil, aPromise.mBoundUntil);
      return true;
    }
    return aRenewal.mSentAt - aPromise.mSentAt > kPromiseLateAfter;
  });
}

bool
Witness::onRenew(const ReceivedRenewal& aRenewal, Millis aNow)
{
  onFeedback(aRenewal);
  Entry& entry = mEntries[aRenewal.mLabel];
  if (entry.mConsented) {
    return false;
  }
  entry.mOutstanding.push_back({ aRenewal.mSentAt, bindUntil(aNow) });
  return true;
}

void
Witness::expect(LeaseLabel aLabel, Millis aNow)
{
  mEntries.try_emplace(aLabel, Entry{ bindUntil(aNow), false, {} });
}

Witness::ConsentAnswer
Witness::onConsentAsk(LeaseLabel aLabel, Millis aNow)
{
  Entry& entry = mEntries[aLabel];
  const Millis until = entry.boundUntil();
  if (!entry.mConsented && until > aNow) {
    return { false, until - aNow };
  }
  entry.mConsented = true;
  return { true, {} };
}

std::vector<LeaseLabel>
Witness::lapsed(Millis aNow) const
{
  std::vector<LeaseLabel> labels;
  for (const auto& [label, entry] : mEntries) {
    if (!entry.mConsented && entry.boundUntil() <= aNow) {
      labels.push_back(label);
    }
  }
  return labels;
}

std::vector<LeaseLabel>
Witness::suspects(Millis aNow) const
{
  std::vector<LeaseLabel> labels;
  for (const auto& [label, entry] : mEntries) {
    if (entry.mConsented || entry.boundUntil() <= aNow) {
      labels.push_back(label);
    }
  }
  return labels;
}

void
Witness::forget(LeaseLabel aLabel)
{
  mEntries.erase(aLabel);
}

void
Witness::forgetIf(const std::function<bool(LeaseLabel)>& aIsStale)
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

#include "radishroad/ownership/witness.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A promise given now binds until here; longer than the holder counts on,
/// since the holder counts from the earlier send of its renewal.
Millis
boundUntil(Millis aNow)
{
  return aNow + kLeaseTtl + kDriftMargin;
}

}

bool
Witness::onRenew(LeaseLabel aLabel, Millis aNow)
{
  Entry& entry = mEntries[aLabel];
  if (entry.mConsented) {
    return false;
  }
  entry.mBoundUntil = std::max(entry.mBoundUntil, boundUntil(aNow));
  return true;
}

void
Witness::expect(LeaseLabel aLabel, Millis aNow)
{
  mEntries.try_emplace(aLabel, Entry{ boundUntil(aNow), false });
}

Witness::ConsentAnswer
Witness::onConsentAsk(LeaseLabel aLabel, Millis aNow)
{
  Entry& entry = mEntries[aLabel];
  if (!entry.mConsented && entry.mBoundUntil > aNow) {
    return { false, entry.mBoundUntil - aNow };
  }
  entry.mConsented = true;
  return { true, {} };
}

std::vector<LeaseLabel>
Witness::lapsed(Millis aNow) const
{
  std::vector<LeaseLabel> labels;
  for (const auto& [label, entry] : mEntries) {
    if (!entry.mConsented && entry.mBoundUntil <= aNow) {
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
    if (entry.mConsented || entry.mBoundUntil <= aNow) {
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

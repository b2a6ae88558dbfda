#include "radishroad/ownership/witness.h"

#include <algorithm>

namespace radishroad {

namespace {

/// A promise given now binds until here; longer than the holder counts on,
/// since the holder counts from the earlier send of its renewal.
Millis
promiseEnd(Millis aNow)
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
  entry.mBoundUntil = std::max(entry.mBoundUntil, promiseEnd(aNow));
  return true;
}

void
Witness::expect(LeaseLabel aLabel, Millis aNow)
{
  mEntries.try_emplace(aLabel, Entry{ promiseEnd(aNow), false });
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
Witness::outstanding(Millis aNow) const
{
  std::vector<LeaseLabel> labels;
  for (const auto& [label, entry] : mEntries) {
    if (entry.mBoundUntil <= aNow) {
      labels.push_back(label);
    }
  }
  return labels;
}

Millis
Witness::boundUntil(LeaseLabel aLabel) const
{
  const auto it = mEntries.find(aLabel);
  return it == mEntries.end() ? Millis{} : it->second.mBoundUntil;
}

void
Witness::forget(LeaseLabel aLabel)
{
  mEntries.erase(aLabel);
}

std::size_t
Witness::size() const
{
  return mEntries.size();
}

}

#include "radishroad/policy/split_key_loads.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Time until a new owner's estimate of a key's rate has settled.
constexpr Millis kEstimateSettlingTime{ 15000 };

/// Returns the key's rate from a report; 0 if the report does not list it.
double
reportedRate(const wire::LoadReportT& aReport, std::uint64_t aKeyHash)
{
  for (const std::unique_ptr<wire::HotKeyT>& key : aReport.hot_keys) {
    if (key->key_hash == aKeyHash) {
      return key->rate;
    }
  }
  return 0;
}

}

void
SplitKeyLoads::update(const CellState& aState, const Hooks& aHooks, Millis aNow)
{
  std::erase_if(mKeys, [&](const auto& aEntry) {
    const bool merged = !aState.mSplitKeys.contains(aEntry.first);
    if (merged) {
      aHooks.mAddShardRate(aEntry.second.mShard, aEntry.second.mRate);
    }
    return merged;
  });
  for (const auto& [hash, split] : aState.mSplitKeys) {
    const auto [it, added] = mKeys.try_emplace(hash);
    Key& key = it->second;
    if (added) {
      key.mShard = split.mShard;
      key.mRate = aHooks.mLastKnownRate(hash);
      aHooks.mAddShardRate(key.mShard, -key.mRate);
    }
    if (added || key.mOwner != split.mOwnership.mOwner) {
      key.mOwner = split.mOwnership.mOwner;
      key.mOwnedSince = aNow;
    }
  }
}

void
SplitKeyLoads::onReport(const wire::LoadReportT& aReport, Millis aNow)
{
  for (auto& [hash, key] : mKeys) {
    if (key.mOwner != aReport.incarnation) {
      continue;
    }
    const double rate = reportedRate(aReport, hash);
    const bool settled = aNow - key.mOwnedSince >= kEstimateSettlingTime;
    key.mRate = settled ? rate : std::max(rate, key.mRate);
  }
}

void
SplitKeyLoads::updateColdSince(double aColdRate, Millis aNow)
{
  for (auto& [hash, key] : mKeys) {
    if (key.mRate > aColdRate) {
      key.mColdSince.reset();
    } else {
      key.mColdSince = key.mColdSince.value_or(aNow);
    }
  }
}

double
SplitKeyLoads::rateOf(Incarnation aOwner, std::optional<Shard> aShard) const
{
  double sum = 0;
  for (const auto& [hash, key] : mKeys) {
    const bool counts =
      key.mOwner == aOwner && (!aShard || key.mShard == *aShard);
    sum += counts ? key.mRate : 0;
  }
  return sum;
}

}

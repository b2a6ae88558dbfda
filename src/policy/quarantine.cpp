#include "radishroad/policy/quarantine.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr int kCrashesToQuarantine = 2;
constexpr Millis kQuarantineTime{ 300000 };
/// A crash this long ago no longer counts.
constexpr Millis kCrashRetention{ 600000 };
constexpr std::size_t kMaxEntries = 8192;
/// All copies of a request in flight at one crash are reported within this
/// interval. Two crashes are at least 20 ms apart, the minimum time between
/// health probes, since a probe confirms each crash.
constexpr Millis kSameCrashInterval{ 10 };

}

void
Quarantine::onReport(const wire::CrashReportT& aReport, Millis aNow)
{
  const bool isKnown = mEntries.contains(aReport.fingerprint);
  if (!isKnown && mEntries.size() >= kMaxEntries) {
    evictOne(aNow);
  }
  Entry& entry = mEntries[aReport.fingerprint];
  const bool sameCrash = entry.mCrashes > 0 &&
                         entry.mLastReporter == aReport.reporter &&
                         aNow - entry.mLastCrash < kSameCrashInterval;
  if (sameCrash) {
    return;
  }
  if (aNow - entry.mLastCrash > kCrashRetention) {
    entry.mCrashes = 0;
  }
  ++entry.mCrashes;
  entry.mLastCrash = aNow;
  entry.mLastReporter = aReport.reporter;
  if (entry.mCrashes >= kCrashesToQuarantine) {
    entry.mQuarantinedUntil = aNow + kQuarantineTime;
  }
}

bool
Quarantine::isQuarantined(std::uint64_t aFingerprint, Millis aNow) const
{
  const auto it = mEntries.find(aFingerprint);
  return it != mEntries.end() && aNow < it->second.mQuarantinedUntil;
}

std::size_t
Quarantine::size() const
{
  return mEntries.size();
}

void
Quarantine::evictOne(Millis aNow)
{
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mLastCrash > kCrashRetention;
  });
  if (mEntries.size() < kMaxEntries) {
    return;
  }
  // Evict entries that are not quarantined first.
  const auto oldest = std::ranges::min_element(
    mEntries, [](const auto& aLeft, const auto& aRight) {
      const Entry& left = aLeft.second;
      const Entry& right = aRight.second;
      return std::pair(left.mQuarantinedUntil, left.mLastCrash) <
             std::pair(right.mQuarantinedUntil, right.mLastCrash);
    });
  mEntries.erase(oldest);
}

}

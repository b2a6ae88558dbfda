#ifndef RADISHROAD_POLICY_QUARANTINE_H
#define RADISHROAD_POLICY_QUARANTINE_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace radishroad {

/// Requests that were in flight at crashes of upstreams, by fingerprint. After
/// a second crash a fingerprint is refused for a time. Takes the reports of
/// this daemon and those of others. Pure; bounded memory.
class Quarantine
{
public:
  void onReport(const wire::CrashReportT& aReport, Millis aNow);
  bool isQuarantined(std::uint64_t aFingerprint, Millis aNow) const;
  /// Fingerprints remembered.
  std::size_t size() const;

private:
  struct Entry
  {
    int mCrashes = 0;
    Millis mLastCrash;
    std::uint64_t mLastReporter = 0;
    Millis mQuarantinedUntil;
  };
  void evictOne(Millis aNow);

  std::unordered_map<std::uint64_t, Entry> mEntries;
};

}

#endif

#ifndef RADISHROAD_POLICY_QUARANTINE_H
#define RADISHROAD_POLICY_QUARANTINE_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace radishroad {

/// Counts upstream crashes by the fingerprints of the requests in flight at
/// that time, from the reports of this daemon and of others. A fingerprint is
/// quarantined for a time after its second crash. Does no I/O and reads no
/// clock; memory is bounded.
class Quarantine
{
public:
  void onReport(const wire::CrashReportT& aReport, Millis aNow);
  bool isQuarantined(std::uint64_t aFingerprint, Millis aNow) const;
  /// Number of tracked fingerprints.
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

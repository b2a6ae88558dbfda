#ifndef RADISHROAD_UPSTREAM_UPSTREAM_REPORT_H
#define RADISHROAD_UPSTREAM_UPSTREAM_REPORT_H

#include "radishroad/base/millis.h"

#include "radishroad/ownership/grant_keeper.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// What an upstream says of itself, to the daemon beside it.
struct UpstreamReport
{
  enum class Kind
  {
    Ready,
    /// It stops soon and is to get nothing new.
    Draining,
    /// The same, and it reports no more.
    Leaving,
  };

  Kind mKind = Kind::Ready;
  /// Name of the upstream; a restart may keep it.
  std::string mInstance;
  /// Service that it belongs to; empty if it is not told.
  std::string mService;
  /// Wall-clock time of its start; tells two starts of one name apart. 0 if it
  /// is not told.
  Millis mBorn;
  /// Rises with each report of one start.
  std::uint64_t mSequence = 0;
  /// Requests that it runs at once; 0 if it is not told.
  std::uint32_t mSlots = 0;
  /// How much longer it is cold.
  Millis mColdLeft;
  /// Keys that it holds or is still working on; nothing if it does not tell.
  std::optional<std::vector<ReportedHold>> mHolds;
  /// Keys that it has given back since its last report that was answered.
  std::vector<ReportedRelease> mReleased;
};

/// What an upstream is told in answer to a report.
struct ReportAnswer
{
  /// All keys that it is to hold from now on; it gives back any others. Nothing
  /// where that is not known, or where it is told by calls.
  std::optional<std::vector<KeyGrant>> mHolds;
  /// How long it holds them, counted from when it sent the report.
  Millis mHoldTime;
};

/// Whether the second report may be taken after the first: not of an earlier
/// start, nor an older one of the same start.
bool
isNewer(const UpstreamReport& aReport, const UpstreamReport& aThan);

/// The report with what a notice to leave does not repeat, taken from the
/// report before it of the same upstream.
UpstreamReport
completeReport(UpstreamReport aReport, const UpstreamReport& aBefore);

/// Names the start of an upstream; never 0.
std::uint64_t
lifeOf(const UpstreamReport& aReport);

}

#endif

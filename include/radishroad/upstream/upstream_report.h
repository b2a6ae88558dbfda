#ifndef RADISHROAD_UPSTREAM_UPSTREAM_REPORT_H
#define RADISHROAD_UPSTREAM_UPSTREAM_REPORT_H

#include "radishroad/base/millis.h"

#include "radishroad/ownership/grant_manager.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// Status report of an upstream to the daemon on the same VM.
struct UpstreamReport
{
  enum class Kind
  {
    Ready,
    /// It stops soon and should get no new requests.
    Draining,
    /// As Draining, and this is its last report.
    Leaving,
  };

  Kind mKind = Kind::Ready;
  /// Instance id of the upstream; may be the same after a restart.
  std::string mInstance;
  /// False if it names another address than that of the upstream beside this
  /// daemon.
  bool mIsAtOwnAddress = true;
  /// See hasPlausibleStart().
  bool mHasPlausibleStart = true;
  /// Service that it belongs to; empty if not reported.
  std::string mService;
  /// Software version; empty if not reported.
  std::string mVersion;
  /// Address at which it serves requests; empty if not reported.
  std::string mAddress;
  /// Wall-clock time of its start, which distinguishes incarnations with the
  /// same instance id. 0 if not reported.
  Millis mStartTime;
  /// Wall-clock time at which it arrived; 0 if unknown.
  Millis mReceivedAt;
  /// Increases with each report of one incarnation.
  std::uint64_t mSequence = 0;
  /// Number of requests that it runs concurrently; 0 if not reported.
  std::uint32_t mSlots = 0;
  /// How much longer it stays cold.
  Millis mColdTimeLeft;
  /// Keys that it holds or is still working on; nullopt if not reported.
  std::optional<std::vector<ReportedHold>> mHolds;
  /// Keys that it has released since its last answered report.
  std::vector<ReportedRelease> mReleased;
};

/// The daemon's answer to a report.
struct ReportAnswer
{
  /// All keys that the upstream should hold from now on; it releases any
  /// others. nullopt if the daemon does not know them, or if it sends grants as
  /// separate requests.
  std::optional<std::vector<KeyGrant>> mHolds;
  /// How long the upstream holds them, from when it sent the report.
  Millis mHoldTime;
};

/// Whether the upstream started at the present or before, give or take a day
/// for clocks that differ. The reports of any other process would be older than
/// one of the far future.
bool
hasPlausibleStart(const UpstreamReport& aReport, Millis aWallNow);

/// Whether aReport may be processed after aOther: it is neither from an earlier
/// incarnation nor an older report of the same incarnation. One of another
/// address, or with an implausible start, does not follow one that has neither.
bool
isNewer(const UpstreamReport& aReport, const UpstreamReport& aOther);

/// Copies the fields that a Leaving report omits from the previous report of
/// the same upstream.
UpstreamReport
fillFromPrevious(UpstreamReport aReport, const UpstreamReport& aPrevious);

/// Identifies an incarnation of an upstream process; never 0.
std::uint64_t
incarnationOf(const UpstreamReport& aReport);

}

#endif

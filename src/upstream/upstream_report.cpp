#include "radishroad/upstream/upstream_report.h"

#include "radishroad/base/hash.h"

#include <algorithm>

namespace radishroad {

bool
hasPlausibleStart(const UpstreamReport& aReport, Millis aWallNow)
{
  constexpr Millis kMaxClockDifference{ 86'400'000 };
  return aReport.mStartTime <= aWallNow + kMaxClockDifference;
}

bool
isNewer(const UpstreamReport& aReport, const UpstreamReport& aOther)
{
  if (aReport.mIsAtOwnAddress != aOther.mIsAtOwnAddress) {
    return aReport.mIsAtOwnAddress;
  }
  if (aReport.mHasPlausibleStart != aOther.mHasPlausibleStart) {
    return aReport.mHasPlausibleStart;
  }
  if (aReport.mStartTime != aOther.mStartTime) {
    return aReport.mStartTime > aOther.mStartTime;
  }
  // Another instance id with the same start time, or with none, is another
  // upstream; which of the two started later is not known.
  return aReport.mInstance != aOther.mInstance ||
         aReport.mKind == UpstreamReport::Kind::Leaving ||
         aReport.mSequence > aOther.mSequence;
}

UpstreamReport
fillFromPrevious(UpstreamReport aReport, const UpstreamReport& aPrevious)
{
  if (aReport.mKind == UpstreamReport::Kind::Leaving) {
    // It names no address.
    aReport.mIsAtOwnAddress = aPrevious.mIsAtOwnAddress;
    aReport.mHasPlausibleStart = aPrevious.mHasPlausibleStart;
  }
  const bool same = aReport.mInstance == aPrevious.mInstance &&
                    (aReport.mStartTime == Millis{} ||
                     aReport.mStartTime == aPrevious.mStartTime);
  if (aReport.mKind == UpstreamReport::Kind::Leaving && same) {
    aReport.mStartTime = aPrevious.mStartTime;
    aReport.mSequence = aPrevious.mSequence;
    aReport.mSlots = aPrevious.mSlots;
    aReport.mColdTimeLeft = aPrevious.mColdTimeLeft;
  }
  return aReport;
}

std::uint64_t
incarnationOf(const UpstreamReport& aReport)
{
  const std::uint64_t incarnation =
    hashPair(hash64(aReport.mInstance),
             static_cast<std::uint64_t>(aReport.mStartTime.mCount));
  return std::max<std::uint64_t>(1, incarnation);
}

}

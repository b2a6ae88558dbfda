#include "radishroad/upstream/upstream_report.h"

#include "radishroad/base/hash.h"

#include <algorithm>

namespace radishroad {

bool
isNewer(const UpstreamReport& aReport, const UpstreamReport& aThan)
{
  if (aReport.mBorn != aThan.mBorn) {
    return aReport.mBorn > aThan.mBorn;
  }
  // Another name with the same time of start, or none given, is another
  // upstream; which of the two is later cannot be told.
  return aReport.mInstance != aThan.mInstance ||
         aReport.mKind == UpstreamReport::Kind::Leaving ||
         aReport.mSequence > aThan.mSequence;
}

UpstreamReport
completeReport(UpstreamReport aReport, const UpstreamReport& aBefore)
{
  const bool same = aReport.mInstance == aBefore.mInstance;
  if (aReport.mKind == UpstreamReport::Kind::Leaving && same) {
    aReport.mBorn = aBefore.mBorn;
    aReport.mSequence = aBefore.mSequence;
    aReport.mSlots = aBefore.mSlots;
    aReport.mColdLeft = aBefore.mColdLeft;
  }
  return aReport;
}

std::uint64_t
lifeOf(const UpstreamReport& aReport)
{
  const std::uint64_t life =
    hashPair(hash64(aReport.mInstance),
             static_cast<std::uint64_t>(aReport.mBorn.mCount));
  return std::max<std::uint64_t>(1, life);
}

}

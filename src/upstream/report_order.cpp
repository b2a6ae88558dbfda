#include "radishroad/upstream/report_order.h"

#include <algorithm>

namespace radishroad {

std::optional<UpstreamReport>
ReportOrder::accept(const UpstreamReport& aReport)
{
  if (aReport.mKind != UpstreamReport::Kind::Leaving && hasLeft(aReport)) {
    return std::nullopt;
  }
  const UpstreamReport report = fillFromPrevious(aReport, mNewest);
  if (report.mKind == UpstreamReport::Kind::Leaving) {
    recordDeparture(report);
  }
  if (!mNewest.mInstance.empty() && !isNewer(report, mNewest)) {
    return std::nullopt;
  }
  mNewest = report;
  return report;
}

bool
ReportOrder::hasLeft(const UpstreamReport& aReport) const
{
  const auto it = mDepartures.find(aReport.mInstance);
  return it != mDepartures.end() &&
         aReport.mStartTime <= it->second.mStartedUntil;
}

void
ReportOrder::recordDeparture(const UpstreamReport& aReport)
{
  // A process that tells no start started before it left.
  const Millis unknownStart =
    aReport.mReceivedAt == Millis{} ? Millis::max() : aReport.mReceivedAt;
  const Millis start =
    aReport.mStartTime == Millis{} ? unknownStart : aReport.mStartTime;
  Departure& departure = mDepartures[aReport.mInstance];
  departure.mStartedUntil = std::max(departure.mStartedUntil, start);
  departure.mReceivedAt = aReport.mReceivedAt;
  if (mDepartures.size() > kMaxDepartures) {
    mDepartures.erase(
      std::ranges::min_element(mDepartures, {}, [](const auto& aEntry) {
        return aEntry.second.mReceivedAt;
      }));
  }
}

}

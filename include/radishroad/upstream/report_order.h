#ifndef RADISHROAD_UPSTREAM_REPORT_ORDER_H
#define RADISHROAD_UPSTREAM_REPORT_ORDER_H

#include "radishroad/upstream/upstream_report.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace radishroad {

/// Decides which reports of the upstream count. They may arrive seconds late
/// and in any order, also at a daemon that has just started. That an upstream
/// has left is final: no report of the same process undoes it.
class ReportOrder
{
public:
  /// The report with what it omits, or nullopt if it is outdated.
  std::optional<UpstreamReport> accept(const UpstreamReport& aReport);

private:
  /// Number of departures that are remembered.
  static constexpr std::size_t kMaxDepartures = 16;

  struct Departure
  {
    /// Processes of the instance that started by then have left.
    Millis mStartedUntil;
    Millis mReceivedAt;
  };

  bool hasLeft(const UpstreamReport& aReport) const;
  void recordDeparture(const UpstreamReport& aReport);

  /// The newest accepted report; its instance is empty if there is none.
  UpstreamReport mNewest;
  std::map<std::string, Departure> mDepartures;
};

}

#endif

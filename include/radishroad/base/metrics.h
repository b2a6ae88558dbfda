#ifndef RADISHROAD_BASE_METRICS_H
#define RADISHROAD_BASE_METRICS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace radishroad {

/// Counters, gauges and latency summaries of one process, kept with
/// Boost.Accumulators and written in the Prometheus text format.
/// Names begin with `radishroad_`; those of counters end with `_total`, those
/// of summaries with `_seconds`. All members may be called from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// aName may carry labels: radishroad_requests_total{outcome="answered"}.
  void count(std::string_view aName, std::uint64_t aIncrement = 1);
  void gauge(std::string_view aName, double aValue);
  /// Adds a sample to a summary (quantiles 0.5, 0.99, 0.999), which is written
  /// in seconds.
  void observe(std::string_view aName, Millis aTime);

  std::uint64_t counter(std::string_view aName) const;
  std::string toPrometheus() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

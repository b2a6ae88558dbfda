#ifndef RADISHROAD_BASE_METRICS_H
#define RADISHROAD_BASE_METRICS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace radishroad {

/// Counters, gauges and latency summaries of one process, exported in the
/// Prometheus text format. Names start with `radishroad_`; counter names end
/// with `_total`, summary names with `_seconds`. Thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Increments a counter. Here and below, aName may include labels, as in
  /// radishroad_requests_total{outcome="answered"}.
  void count(std::string_view aName, std::uint64_t aIncrement = 1);
  void gauge(std::string_view aName, double aValue);
  /// Adds a sample to a summary with quantiles 0.5, 0.99 and 0.999, which is
  /// exported in seconds.
  void observe(std::string_view aName, Millis aTime);

  std::uint64_t counter(std::string_view aName) const;
  std::string toPrometheus() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif

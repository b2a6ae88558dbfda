// Stands in until the library's own Metrics is there.
#include "radishroad/base/metrics.h"

namespace radishroad {

struct Metrics::Impl
{};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::count(std::string_view, std::uint64_t)
{
}

void
Metrics::gauge(std::string_view, double)
{
}

void
Metrics::observeMs(std::string_view, double)
{
}

std::uint64_t
Metrics::counter(std::string_view) const
{
  return 0;
}

}

#ifndef RADISHROAD_TOOLS_RR_LOAD_SUMMARY_H
#define RADISHROAD_TOOLS_RR_LOAD_SUMMARY_H

#include "common/load_engine.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace radishroad::tools {

/// Counts and exact latency quantiles of a set of requests.
class Summary
{
public:
  void add(const LoadResult& aResult);
  void merge(const Summary& aOther);
  /// Latencies cover only responses with status 200.
  nlohmann::json toJson() const;

private:
  double quantile(double aShare) const;

  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mOther = 0;
  std::uint64_t mNoAnswer = 0;
  /// Responses that belong to another request.
  std::uint64_t mMismatched = 0;
  std::map<int, std::uint64_t> mByStatus;
  std::vector<double> mLatencies;
};

}

#endif

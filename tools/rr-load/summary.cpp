#include "rr-load/summary.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace radishroad::tools {

namespace {

constexpr int kStatusOk = 200;

double
roundToMicroseconds(double aMs)
{
  constexpr double kSteps = 1000;
  return std::round(aMs * kSteps) / kSteps;
}

}

void
Summary::add(const LoadResult& aResult)
{
  ++mSent;
  ++mByStatus[aResult.mStatus];
  if (aResult.mStatus == 0) {
    ++mNoAnswer;
  } else if (aResult.mStatus == kStatusOk) {
    ++mAnswered;
    mLatencies.push_back(aResult.mLatencyMs);
    mMismatched +=
      aResult.mTag != std::to_string(aResult.mRequest.mTag) ? 1 : 0;
  } else if (aResult.mOutcome == "not-run") {
    ++mNotRun;
  } else if (aResult.mOutcome == "unknown") {
    ++mUnknown;
  } else {
    ++mOther;
  }
}

void
Summary::merge(const Summary& aOther)
{
  mSent += aOther.mSent;
  mAnswered += aOther.mAnswered;
  mNotRun += aOther.mNotRun;
  mUnknown += aOther.mUnknown;
  mOther += aOther.mOther;
  mNoAnswer += aOther.mNoAnswer;
  mMismatched += aOther.mMismatched;
  for (const auto& [status, n] : aOther.mByStatus) {
    mByStatus[status] += n;
  }
  mLatencies.insert(
    mLatencies.end(), aOther.mLatencies.begin(), aOther.mLatencies.end());
}

double
Summary::quantile(double aShare) const
{
  if (mLatencies.empty()) {
    return 0;
  }
  std::vector<double> sorted = mLatencies;
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(sorted.size())));
  const auto it =
    sorted.begin() + static_cast<std::ptrdiff_t>(rank > 0 ? rank - 1 : 0);
  std::nth_element(sorted.begin(), it, sorted.end());
  return roundToMicroseconds(*it);
}

nlohmann::json
Summary::toJson() const
{
  nlohmann::json byStatus = nlohmann::json::object();
  for (const auto& [status, n] : mByStatus) {
    byStatus[std::to_string(status)] = n;
  }
  return { { "sent", mSent },
           { "answered", mAnswered },
           { "not_run", mNotRun },
           { "unknown", mUnknown },
           { "other", mOther },
           { "no_answer", mNoAnswer },
           { "crossed", mMismatched },
           { "by_status", byStatus },
           { "latency_ms",
             { { "p50", quantile(0.5) },
               { "p99", quantile(0.99) },
               { "p99.9", quantile(0.999) },
               { "max", quantile(1) } } } };
}

}

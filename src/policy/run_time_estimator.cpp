#include "radishroad/policy/run_time_estimator.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Weight of one run in the mean over all kinds, and in the mean of its kind.
constexpr double kOverallGain = 0.03;
constexpr double kKindGain = 0.06;
/// Number of kinds with a mean of their own; the others use the mean of all.
constexpr std::size_t kMaxKinds = 64;

void
smooth(double& aMean, double aValue, double aGain)
{
  aMean = aMean == 0 ? aValue : aMean + aGain * (aValue - aMean);
}

}

void
RunTimeEstimator::addRun(std::uint32_t aKind, Millis aTook, double aSlowness)
{
  const double took = static_cast<double>(aTook.mCount);
  const double typical = took / std::max(1.0, aSlowness);
  smooth(mMeanMs, took, kOverallGain);
  smooth(mTypicalMs, typical, kOverallGain);
  if (mTypicalMsByKind.size() < kMaxKinds || mTypicalMsByKind.contains(aKind)) {
    smooth(mTypicalMsByKind[aKind], typical, kKindGain);
  }
}

double
RunTimeEstimator::typicalMs(std::uint32_t aKind) const
{
  const auto it = mTypicalMsByKind.find(aKind);
  return it == mTypicalMsByKind.end() ? mTypicalMs : it->second;
}

}

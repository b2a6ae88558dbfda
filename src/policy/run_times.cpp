#include "radishroad/policy/run_times.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Weight of one run in a mean over all kinds, and over one kind.
constexpr double kGain = 0.03;
constexpr double kKindGain = 0.06;
/// Kinds that are told apart; the others share the mean of all.
constexpr std::size_t kMostKinds = 64;

void
smooth(double& aMean, double aValue, double aGain)
{
  aMean = aMean == 0 ? aValue : aMean + aGain * (aValue - aMean);
}

}

void
RunTimes::note(std::uint32_t aKind, Millis aTook, double aSlowness)
{
  const double took = static_cast<double>(aTook.mCount);
  const double usual = took / std::max(1.0, aSlowness);
  smooth(mMeanMs, took, kGain);
  smooth(mUsualMs, usual, kGain);
  if (mKinds.size() < kMostKinds || mKinds.contains(aKind)) {
    smooth(mKinds[aKind], usual, kKindGain);
  }
}

double
RunTimes::usualMs(std::uint32_t aKind) const
{
  const auto it = mKinds.find(aKind);
  return it == mKinds.end() ? mUsualMs : it->second;
}

}

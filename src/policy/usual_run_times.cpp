#include "radishroad/policy/usual_run_times.h"

#include <algorithm>
#include <cstddef>

namespace radishroad {

namespace {

/// Runs before the usual time of a kind is known.
constexpr std::uint32_t kFirstRuns = 20;
/// Steps of the quantile estimate, relative to its value. The first step of a
/// kind is divided by the number of its runs. The slow step is small, so that
/// usual times do not creep up with the concurrency.
constexpr double kFirstStep = 2;
constexpr double kFastStep = 0.05;
constexpr double kSlowStep = 0.0005;
/// Weight of a run in the expected times.
constexpr double kExpectedGain = 0.12;
/// Kinds with times of their own; the others use the mean of all.
constexpr std::size_t kMaxKinds = 64;

void
smooth(double& aMean, double aValue)
{
  aMean = aMean == 0 ? aValue : aMean + kExpectedGain * (aValue - aMean);
}

}

void
UsualRunTimes::add(std::uint32_t aKind, double aTookMs, Change aChange)
{
  smooth(mExpectedMs, aTookMs);
  if (mKinds.size() >= kMaxKinds && !mKinds.contains(aKind)) {
    return;
  }
  Kind& kind = mKinds[aKind];
  smooth(kind.mExpectedMs, aTookMs);
  ++kind.mRuns;
  if (kind.mUsualMs == 0) {
    kind.mUsualMs = aTookMs;
    return;
  }
  const bool isNew = kind.mRuns <= kFirstRuns;
  if (aChange == Change::Expected && !isNew) {
    return;
  }
  const double least = aChange == Change::Fast ? kFastStep : kSlowStep;
  const double step = isNew || aChange == Change::Fast
                        ? std::max(least, kFirstStep / kind.mRuns)
                        : least;
  const double towards = aTookMs > kind.mUsualMs ? kQuantile : kQuantile - 1;
  kind.mUsualMs *= 1 + step * towards;
}

std::optional<double>
UsualRunTimes::usualMs(std::uint32_t aKind) const
{
  const auto it = mKinds.find(aKind);
  const bool isKnown = it != mKinds.end() && it->second.mRuns > kFirstRuns;
  return isKnown ? std::optional<double>(it->second.mUsualMs) : std::nullopt;
}

void
UsualRunTimes::scale(double aFactor)
{
  for (auto& [id, kind] : mKinds) {
    kind.mUsualMs *= aFactor;
  }
}

double
UsualRunTimes::expectedMs(std::uint32_t aKind) const
{
  const auto it = mKinds.find(aKind);
  return it == mKinds.end() ? mExpectedMs : it->second.mExpectedMs;
}

}

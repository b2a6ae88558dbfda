#ifndef RADISHROAD_POLICY_USUAL_RUN_TIMES_H
#define RADISHROAD_POLICY_USUAL_RUN_TIMES_H

#include <cstdint>
#include <map>
#include <optional>

namespace radishroad {

/// Run times at one upstream by kind: those that are usual while it is not
/// overfilled, and those that are expected now.
///
/// Load pattern: kinds of 55, 190 and 750 ms share an upstream, and 70 of 100
/// runs wait for up to two calls to others, so that the times of one kind have
/// several peaks. The usual time is therefore a quantile. Does no I/O and reads
/// no clock.
class UsualRunTimes
{
public:
  /// Share of runs that need at most the usual time.
  static constexpr double kQuantile = 0.75;

  enum class Change
  {
    /// Only the expected time changes, as the upstream may be overfilled.
    Expected,
    /// The usual time follows slowly.
    Slow,
    /// Slots were free, or the kind is new.
    Fast,
  };
  void add(std::uint32_t aKind, double aTookMs, Change aChange);
  /// In ms; empty before enough runs of the kind.
  std::optional<double> usualMs(std::uint32_t aKind) const;
  /// Multiplies the usual times of all kinds.
  void scale(double aFactor);
  /// Mean time in ms at present; the mean of all kinds if the kind is unknown,
  /// 0 before the first run.
  double expectedMs(std::uint32_t aKind) const;
  double expectedMs() const { return mExpectedMs; }

private:
  struct Kind
  {
    double mUsualMs = 0;
    double mExpectedMs = 0;
    std::uint32_t mRuns = 0;
  };
  std::map<std::uint32_t, Kind> mKinds;
  double mExpectedMs = 0;
};

}

#endif
